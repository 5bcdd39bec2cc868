package config

// Box is the section on the box and the data centre in which a process runs.
type Box struct {
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
}

// DefaultBox returns the defaults of Box.
func DefaultBox() Box { return Box{Name: "box", DataCentre: "local"} }

func (b *Box) check(c *checker) {
	c.name("box.name", b.Name)
	c.name("box.data_centre", b.DataCentre)
}
