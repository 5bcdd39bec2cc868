package config

// Admin is the agent's section on its HTTP side for operators: metrics,
// health, state and log level. The entry serves the same on its caller side.
type Admin struct {
	Listen string `json:"listen"`
}

// DefaultAdmin returns the defaults of Admin.
func DefaultAdmin() Admin { return Admin{Listen: "127.0.0.1:0"} }

func (a *Admin) check(c *checker) {
	c.address("admin.listen", a.Listen)
}
