package config

// Log is the section on the program's log.
type Log struct {
	Level  string `json:"level"`
	Format string `json:"format"`
}

// DefaultLog returns the defaults of Log.
func DefaultLog() Log { return Log{Level: "info", Format: "json"} }

func (l *Log) check(c *checker) {
	c.oneOf("log.level", l.Level, "debug", "info", "warn", "error")
	c.oneOf("log.format", l.Format, "json", "text")
}
