package web

import (
	"errors"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/lichenfall/lichenfall/lib/failure"
)

// ReadBody reads the body of a request, of at most so many bytes. Its errors are
// too_large and bad_request, both of the field "(body)".
func ReadBody(w http.ResponseWriter, r *http.Request, most int64) ([]byte, *failure.Error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, most))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, failure.InField(failure.TooLarge, "(body)", "too large", "at most "+strconv.FormatInt(most, 10)+" bytes")
	case err != nil:
		return nil, failure.InField(failure.BadRequest, "(body)", "broke off", "a whole JSON object")
	}
	return body, nil
}

// SetRetryAfter tells the caller when to come back, in whole seconds; 0 tells
// nothing.
func SetRetryAfter(h http.Header, after time.Duration) {
	if after > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(after.Seconds()))))
	}
}
