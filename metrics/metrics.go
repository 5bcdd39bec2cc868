// Package metrics counts what the daemons do. All names and labels are fixed
// when a process starts, so that nothing a caller sends can add one; the names of
// decisions are constants of the code. A file a role; it owns the process's registry.
package metrics

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/uber-go/tally/v4"
	promreporter "github.com/uber-go/tally/v4/prometheus"
)

const reportEvery = time.Second

// Registry holds the metrics of one process.
type Registry struct {
	Scope   tally.Scope
	Handler http.Handler // the scrape endpoint
	close   func() error
}

// New returns the registry of a process of the role ("entry", "agent").
func New(role string) *Registry {
	reg := prometheus.NewRegistry()
	reg.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	reporter := promreporter.NewReporter(promreporter.Options{Registerer: reg, Gatherer: reg})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "lichenfall",
		Tags:                   map[string]string{"role": role},
		CachedReporter:         reporter,
		Separator:              promreporter.DefaultSeparator,
		SanitizeOptions:        &promreporter.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, reportEvery)
	return &Registry{Scope: scope, Handler: reporter.HTTPHandler(), close: closer.Close}
}

// Close stops reporting.
func (r *Registry) Close() { _ = r.close() }

// labelled returns a counter for each value of one label.
func labelled(s tally.Scope, name, label string, values []string) map[string]tally.Counter {
	out := make(map[string]tally.Counter, len(values))
	for _, v := range values {
		out[v] = s.Tagged(map[string]string{label: v}).Counter(name)
	}
	return out
}

// inc adds n to the counter of the value; one that is not among those known
// from the start is counted as "other".
func inc(m map[string]tally.Counter, value string, n int) {
	c, ok := m[value]
	if !ok {
		c = m[other]
	}
	c.Inc(int64(n))
}

const other = "other"
