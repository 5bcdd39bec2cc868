package scheduler

// knownSpeed is what a worker last said of the usual speed of one life of its backend server.
type knownSpeed struct {
	instance string // the life
	factor   uint32 // usual time of runs over their estimates, in percent; 0 if not known
}

// timeFactor returns how many times as long as their estimates runs usually take at the
// worker; 1 while that is not known, or where servers are taken to be alike.
func (w *worker) timeFactor() float64 {
	percent := w.timeFactorPercent()
	if percent == 0 || w.speedIgnored {
		return 1
	}
	return float64(percent) / 100
}

// timeFactorPercent returns the time factor in percent, 0 if it is not known: the worker's word, or
// what was last heard of the same life while a worker process that has begun anew does not
// know it again.
func (w *worker) timeFactorPercent() uint32 {
	if w.status.TimeFactor == 0 && w.speed.instance == w.identity.Instance {
		return w.speed.factor
	}
	return w.status.TimeFactor
}

// rememberSpeed keeps what the worker says of the life that it speaks of.
func (w *worker) rememberSpeed() {
	if w.status.TimeFactor != 0 {
		w.speed = knownSpeed{w.identity.Instance, w.status.TimeFactor}
	}
}
