// Package routing holds the operators' configuration and their evacuations of data centres, and
// finds the queue that a caller's request goes to. A Configuration is immutable: an adapter of
// the store parses it, and the coordinator keeps the newest. The package does no I/O.
package routing

import (
	"slices"
	"strings"

	"github.com/lichenfall/lichenfall/jobs/durable"
)

// Rule sends requests for a host and a path prefix to a queue.
type Rule struct {
	Host   string // compared with the host of the request, in lower case and without its port
	Prefix string // of the path
	Queue  durable.Queue
}

// Configuration is one complete version of the operators' configuration. It is immutable.
type Configuration struct {
	Version   uint64
	Rules     []Rule
	MaxHeader int   // bytes; 0 if operators set no limit
	MaxBody   int64 // bytes; 0 if operators set no limit
}

// Lookup returns the rule of the host that has the longest prefix of the path, and the rest of
// the path after that prefix. host may have a port and capitals. rule is nil if none matches.
func (c *Configuration) Lookup(host, path string) (rule *Rule, rest string) {
	host = strings.ToLower(withoutPort(host))
	for i := range c.Rules {
		r := &c.Rules[i]
		if r.Host != host || !strings.HasPrefix(path, r.Prefix) {
			continue
		}
		if rule == nil || len(r.Prefix) > len(rule.Prefix) {
			rule = r
		}
	}
	if rule == nil {
		return nil, ""
	}
	return rule, path[len(rule.Prefix):]
}

// Services returns the services to which the rules send requests.
func (c *Configuration) Services() []string {
	var out []string
	for i := range c.Rules {
		if name := c.Rules[i].Queue.Service; !slices.Contains(out, name) {
			out = append(out, name)
		}
	}
	return out
}

func withoutPort(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		return host[:i]
	}
	return host
}
