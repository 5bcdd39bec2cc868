package config

// Coordinator is the file of a coordinator.
type Coordinator struct {
	Box       Box          `json:"box"`
	Serving   Serving      `json:"serving"`
	Admin     Admin        `json:"admin"`
	Peers     Peers        `json:"peers"`
	Store     StoreAddress `json:"store"`
	Ownership Ownership    `json:"ownership"`
	Subset    Subset       `json:"subset"`
	Scheduler Scheduler    `json:"scheduler"`
	Process   Process      `json:"process"`
	Log       Log          `json:"log"`
}

// DefaultCoordinator returns the defaults of Coordinator. It lacks
// store.address, which has none.
func DefaultCoordinator() *Coordinator {
	return &Coordinator{
		Box:       DefaultBox(),
		Serving:   DefaultServing(),
		Admin:     DefaultAdmin(),
		Peers:     DefaultPeers(),
		Ownership: DefaultOwnership(),
		Subset:    DefaultSubset(),
		Scheduler: DefaultScheduler(),
		Process:   DefaultProcess(),
		Log:       DefaultLog(),
	}
}

func (k *Coordinator) check(c *checker) {
	k.Box.check(c)
	k.Serving.check(c)
	k.Admin.check(c)
	k.Peers.check(c)
	k.Store.check(c)
	k.Ownership.check(c)
	k.Subset.check(c)
	k.Scheduler.check(c)
	k.Process.check(c)
	k.Log.check(c)
}

// Worker is the file of a worker.
type Worker struct {
	Box     Box          `json:"box"`
	Admin   Admin        `json:"admin"`
	Peers   Peers        `json:"peers"`
	Store   StoreAddress `json:"store"`
	Backend Beside       `json:"backend"`
	Runs    Runs         `json:"runs"`
	Process Process      `json:"process"`
	Log     Log          `json:"log"`
}

// DefaultWorker returns the defaults of Worker. It lacks store.address,
// backend.address and backend.listen, which have none.
func DefaultWorker() *Worker {
	return &Worker{
		Box:     DefaultBox(),
		Admin:   DefaultAdmin(),
		Peers:   DefaultPeers(),
		Runs:    DefaultRuns(),
		Process: DefaultProcess(),
		Log:     DefaultLog(),
	}
}

func (w *Worker) check(c *checker) {
	w.Box.check(c)
	w.Admin.check(c)
	w.Peers.check(c)
	w.Store.check(c)
	w.Backend.check(c)
	w.Runs.check(c)
	w.Process.check(c)
	w.Log.check(c)
}
