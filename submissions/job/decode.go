package job

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"strings"

	"github.com/lichenfall/lichenfall/lib/failure"
)

// Decode parses the JSON body of a submission. Unknown fields and a second JSON
// value are errors of the kind BadRequest.
func Decode(body []byte) (*Request, error) {
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	r := &Request{}
	if err := d.Decode(r); err != nil {
		return nil, decodeError(err)
	}
	if _, err := d.Token(); err != io.EOF {
		return nil, failure.InField(failure.BadRequest, "(body)", "more than one value", "one JSON object")
	}
	return r, nil
}

const unknownField = "json: unknown field "

func decodeError(err error) error {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return failure.InField(failure.BadRequest, typeErr.Field, "is a JSON "+typeErr.Value, "a value of type "+typeErr.Type.String())
	}
	if name, ok := strings.CutPrefix(err.Error(), unknownField); ok {
		return failure.InField(failure.BadRequest, strings.Trim(name, `"`), "unknown field",
			"id, team, pool, timeout_ms, deadline, not_repeatable, tasks; in a task: payload")
	}
	return failure.InField(failure.BadRequest, "(body)", err.Error(), "one JSON object")
}
