package job

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"strings"

	"github.com/lichenfall/lichenfall/lib/failure"
)

// Decode reads the JSON text of a submission, strictly.
func Decode(body []byte) (*Request, error) {
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	r := &Request{}
	if err := d.Decode(r); err != nil {
		return nil, badJSON(err)
	}
	if _, err := d.Token(); err != io.EOF {
		return nil, failure.InField(failure.BadRequest, "(body)", "more than one value", "one JSON object")
	}
	return r, nil
}

const unknownField = "json: unknown field "

func badJSON(err error) error {
	var wrong *json.UnmarshalTypeError
	if errors.As(err, &wrong) {
		return failure.InField(failure.BadRequest, wrong.Field, "is a JSON "+wrong.Value, "a value of type "+wrong.Type.String())
	}
	if name, ok := strings.CutPrefix(err.Error(), unknownField); ok {
		return failure.InField(failure.BadRequest, strings.Trim(name, `"`), "unknown field",
			"id, team, pool, timeout_ms, deadline, not_repeatable, tasks; in a task: payload")
	}
	return failure.InField(failure.BadRequest, "(body)", err.Error(), "one JSON object")
}
