package scheduler

// timeFactor returns the usual time of a run at the worker over its estimate; 1 while that is
// not known.
func (w *worker) timeFactor() float64 {
	if w.status.TimeFactor == 0 {
		return 1
	}
	return float64(w.status.TimeFactor) / 100
}
