// Package routing holds the operators' configuration, and finds the queue that a
// caller's request goes to. A configuration is never changed once it is made; the
// adapter makes them and the coordinator keeps the newest. It does no I/O.
package routing

import (
	"strings"

	"github.com/lichenfall/lichenfall/jobs/durable"
)

// Rule sends requests to a queue.
type Rule struct {
	Host   string
	Prefix string // of the path
	Queue  durable.Queue
}

// Configuration is one version of the configuration, whole. It is not changed
// after it was made.
type Configuration struct {
	Version   uint64
	Rules     []Rule
	MaxHeader int   // bytes; 0 is no bound of the operators'
	MaxBody   int64 // bytes; 0 is no bound of the operators'
}

// Lookup returns the rule with the longest prefix of the path, and the rest of
// the path.
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

func withoutPort(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		return host[:i]
	}
	return host
}
