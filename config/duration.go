package config

import (
	"encoding/json"
	"time"

	"github.com/zeebo/errs"
)

// Duration is a time.Duration that is a string in JSON, such as "250ms" or "10m".
type Duration time.Duration

// D returns d as a time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }

// MarshalJSON encodes the duration as a string.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(d.D().String()) }

// UnmarshalJSON decodes a string in the format of time.ParseDuration.
func (d *Duration) UnmarshalJSON(b []byte) error {
	var s string
	if err := json.Unmarshal(b, &s); err != nil {
		return errs.New("not a string")
	}
	v, err := time.ParseDuration(s)
	if err != nil {
		return errs.New("not a duration")
	}
	*d = Duration(v)
	return nil
}
