// Package metrics defines the metrics of the daemons, one type for each role. All names and labels
// are fixed when a process starts, so that requests cannot add labels; only the names of decisions
// are added later, and they are constants of the code.
//
// It owns the process's registry and the goroutine that reports to it. It relies on its callers to
// count what happens.
package metrics

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/uber-go/tally/v4"
	promreporter "github.com/uber-go/tally/v4/prometheus"
)

// reportInterval is the time between two updates of the scraped values.
const reportInterval = time.Second

// Registry holds the metrics of one process.
type Registry struct {
	Scope   tally.Scope
	Handler http.Handler // the scrape endpoint
	close   func() error
}

// New returns the registry of a process; role is the value of the label role of all its metrics.
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
	}, reportInterval)
	return &Registry{Scope: scope, Handler: reporter.HTTPHandler(), close: closer.Close}
}

// Close stops reporting.
func (r *Registry) Close() { _ = r.close() }

// labelled returns a counter for each value of a label, by value.
func labelled(s tally.Scope, name, label string, values []string) map[string]tally.Counter {
	out := make(map[string]tally.Counter, len(values))
	for _, v := range values {
		out[v] = s.Tagged(map[string]string{label: v}).Counter(name)
	}
	return out
}

// inc adds n to the counter of a label's value; a value that m does not have is counted as "other".
func inc(m map[string]tally.Counter, value string, n int) {
	c, ok := m[value]
	if !ok {
		c = m[other]
	}
	c.Inc(int64(n))
}

// other is the label of values that are not among the known ones.
const other = "other"
