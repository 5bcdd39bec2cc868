package config

// Coordinator holds the settings of a coordinator.
type Coordinator struct {
	Box       Box          `json:"box"`
	Serving   Serving      `json:"serving"`
	Admin     Admin        `json:"admin"`
	Peers     Peers        `json:"peers"`
	Store     StoreAddress `json:"store"`
	Ownership Ownership    `json:"ownership"`
	Dedup     Dedup        `json:"copies"`
	Subset    Subset       `json:"subset"`
	Scheduler Scheduler    `json:"scheduler"`
	Process   Process      `json:"process"`
	Log       Log          `json:"log"`
}

// DefaultCoordinator returns the defaults of Coordinator. store.address has no default.
func DefaultCoordinator() *Coordinator {
	return &Coordinator{
		Box:       DefaultBox(),
		Serving:   DefaultServing(),
		Admin:     DefaultAdmin(),
		Peers:     DefaultPeers(),
		Ownership: DefaultOwnership(),
		Dedup:     DefaultDedup(),
		Subset:    DefaultSubset(),
		Scheduler: DefaultScheduler(),
		Process:   DefaultProcess(),
		Log:       DefaultLog(),
	}
}

func (k *Coordinator) check(c *checker) { checkSections(c, k) }

// LogLevel implements Settings.
func (k *Coordinator) LogLevel() string { return k.Log.Level }

// Worker holds the settings of a worker.
type Worker struct {
	Box     Box           `json:"box"`
	Admin   Admin         `json:"admin"`
	Peers   Peers         `json:"peers"`
	Store   StoreAddress  `json:"store"`
	Backend WorkerBackend `json:"backend"`
	Runs    Runs          `json:"runs"`
	Process Process       `json:"process"`
	Log     Log           `json:"log"`
}

// DefaultWorker returns the defaults of Worker. store.address, backend.address and backend.listen
// have no default.
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

func (w *Worker) check(c *checker) { checkSections(c, w) }

// LogLevel implements Settings.
func (w *Worker) LogLevel() string { return w.Log.Level }
