package config

// Admin is the section on the HTTP endpoints for operators: metrics, health, state and log level.
// An entry has none: it serves them on the address for callers.
type Admin struct {
	Listen string `json:"listen"`
}

// DefaultAdmin returns the defaults of Admin.
func DefaultAdmin() Admin { return Admin{Listen: "127.0.0.1:0"} }

func (a *Admin) check(c *checker) {
	c.address("admin.listen", a.Listen)
}
