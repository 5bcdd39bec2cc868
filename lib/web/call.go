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

// ReadBody reads the body of a request of at most limit bytes. Its errors are of the kinds too_large
// and bad_request, with the field "(body)".
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, *failure.Error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, failure.InField(failure.TooLarge, "(body)", "too large", "at most "+strconv.FormatInt(limit, 10)+" bytes")
	case err != nil:
		return nil, failure.InField(failure.BadRequest, "(body)", "broke off", "a whole JSON object")
	}
	return body, nil
}

// SetRetryAfter sets the header Retry-After to the time after which the caller may retry, rounded up
// to whole seconds. It sets no header if the time is 0.
func SetRetryAfter(h http.Header, after time.Duration) {
	if after > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(after.Seconds()))))
	}
}
