package config

// Entry holds the settings of an entry.
type Entry struct {
	Box       Box       `json:"box"`
	HTTP      HTTP      `json:"http"`
	Peers     Peers     `json:"peers"`
	Claims    Claims    `json:"claims"`
	Jobs      Jobs      `json:"jobs"`
	Placement Placement `json:"placement"`
	BoxList   BoxList   `json:"platform"`
	Log       Log       `json:"log"`
}

// DefaultEntry returns the defaults of Entry. claims.holders, jobs.teams and jobs.pools have no
// default.
func DefaultEntry() *Entry {
	return &Entry{
		Box:       DefaultBox(),
		HTTP:      DefaultHTTP(),
		Peers:     DefaultPeers(),
		Claims:    DefaultClaims(),
		Jobs:      DefaultJobs(),
		Placement: DefaultPlacement(),
		BoxList:   DefaultBoxList(),
		Log:       DefaultLog(),
	}
}

func (e *Entry) check(c *checker) {
	checkSections(c, e)
	if e.Jobs.MaxPayload > e.Peers.MaxFrame/2 {
		c.d.report("jobs.max_payload", "does not fit into a frame", "at most half of peers.max_frame")
	}
}

// LogLevel implements Settings.
func (e *Entry) LogLevel() string { return e.Log.Level }

// Agent holds the settings of an agent.
type Agent struct {
	Box     Box     `json:"box"`
	Peers   Peers   `json:"peers"`
	Admin   Admin   `json:"admin"`
	Claims  Claims  `json:"claims"`
	Backend Backend `json:"backend"`
	Log     Log     `json:"log"`
}

// DefaultAgent returns the defaults of Agent. claims.holders and backend.url have no default.
func DefaultAgent() *Agent {
	return &Agent{
		Box:     DefaultBox(),
		Peers:   DefaultPeers(),
		Admin:   DefaultAdmin(),
		Claims:  DefaultClaims(),
		Backend: DefaultBackend(),
		Log:     DefaultLog(),
	}
}

func (a *Agent) check(c *checker) {
	checkSections(c, a)
	if a.Backend.MaxAnswer > int64(a.Peers.MaxFrame)/2 {
		c.d.report("backend.max_answer", "does not fit into a frame", "at most half of peers.max_frame")
	}
}

// LogLevel implements Settings.
func (a *Agent) LogLevel() string { return a.Log.Level }

// Roles returns all roles that have a settings file.
func Roles() []Role {
	return []Role{
		{"entry", func() Settings { return DefaultEntry() }},
		{"agent", func() Settings { return DefaultAgent() }},
		{"coordinator", func() Settings { return DefaultCoordinator() }},
		{"worker", func() Settings { return DefaultWorker() }},
	}
}

// Role is the name of a role and a function that returns its default settings.
type Role struct {
	Name     string
	Defaults func() Settings
}
