package scheduler

// knownSpeed is the time factor that a worker last reported for one incarnation of its backend
// server.
type knownSpeed struct {
	instance string // the incarnation
	factor   uint32 // usual time of runs over their estimates, in percent; 0 if not known
}

// timeFactor returns how many times their estimates runs usually take on the worker; 1 while that is
// not known, or where all servers are taken to be equally fast.
func (w *worker) timeFactor() float64 {
	percent := w.timeFactorPercent()
	if percent == 0 || w.speedIgnored {
		return 1
	}
	return float64(percent) / 100
}

// timeFactorPercent returns the time factor in percent, 0 if it is not known. A worker process that
// has restarted reports none until it has measured runs again; until then the last factor of the
// same incarnation of its backend server holds.
func (w *worker) timeFactorPercent() uint32 {
	if w.status.TimeFactor == 0 && w.speed.instance == w.identity.Instance {
		return w.speed.factor
	}
	return w.status.TimeFactor
}

// rememberSpeed stores the reported time factor with the incarnation that it belongs to.
func (w *worker) rememberSpeed() {
	if w.status.TimeFactor != 0 {
		w.speed = knownSpeed{w.identity.Instance, w.status.TimeFactor}
	}
}
