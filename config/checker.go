package config

import (
	"cmp"
	"fmt"
	"net"
	"net/url"
	"reflect"
	"strconv"

	"github.com/lichenfall/lichenfall/submissions/job"
)

// checker reports values of a settings file that are not allowed.
type checker struct {
	d *decoder
}

// section is one section of a role's settings.
type section interface {
	check(c *checker)
}

// checkSections checks all sections of a role's settings in the order of the struct's fields.
func checkSections(c *checker, settings any) {
	v := reflect.ValueOf(settings).Elem()
	for i := range v.NumField() {
		v.Field(i).Addr().Interface().(section).check(c)
	}
}

// between reports the field if v is outside [low, high].
func between[T cmp.Ordered](c *checker, field string, v, low, high T) {
	if v < low || v > high {
		c.d.report(field, fmt.Sprintf("%v is out of range", v), fmt.Sprintf("%v to %v", low, high))
	}
}

// durationBetween reports the field if the duration is outside [low, high].
func (c *checker) durationBetween(field string, v, low, high Duration) {
	if v < low || v > high {
		c.d.report(field, v.D().String()+" is out of range", low.D().String()+" to "+high.D().String())
	}
}

// address reports the field unless v is an IP address and a port.
func (c *checker) address(field, v string) {
	host, port, err := net.SplitHostPort(v)
	n, perr := strconv.Atoi(port)
	if err != nil || perr != nil || net.ParseIP(host) == nil || n < 0 || n > 65535 {
		c.d.report(field, fmt.Sprintf("%q is not an address", v), "an IP number and a port, such as 10.0.0.7:7070")
	}
}

// addresses reports the elements of a list that are not addresses or are duplicates.
func (c *checker) addresses(field string, list []string) {
	seen := make(map[string]bool)
	for i, a := range list {
		name := fmt.Sprintf("%s[%d]", field, i)
		c.address(name, a)
		if seen[a] {
			c.d.report(name, "given twice", "each address once")
		}
		seen[a] = true
	}
}

// httpURL reports the field unless v is an http URL with a host.
func (c *checker) httpURL(field, v string) {
	u, err := url.Parse(v)
	if err != nil || u.Scheme != "http" || u.Host == "" {
		c.d.report(field, fmt.Sprintf("%q is not a URL", v), "such as http://10.0.0.7:9000")
	}
}

// name reports the field unless v is a valid name.
func (c *checker) name(field, v string) {
	if !job.ValidName(v) {
		c.d.report(field, fmt.Sprintf("%q is not a valid name", v), "1 to 64 characters of A-Z a-z 0-9 . _ : - @")
	}
}

// nameList reports the list if it is empty, and its elements that are not valid names.
func (c *checker) nameList(field string, list []string) {
	if len(list) == 0 {
		c.d.report(field, "empty", "at least one name")
	}
	for i, n := range list {
		c.name(fmt.Sprintf("%s[%d]", field, i), n)
	}
}

// oneOf reports the field unless v is one of the allowed values.
func (c *checker) oneOf(field, v string, allowed ...string) {
	for _, a := range allowed {
		if v == a {
			return
		}
	}
	c.d.report(field, fmt.Sprintf("%q is not known", v), fmt.Sprint(allowed))
}
