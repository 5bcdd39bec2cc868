package load

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/lichenfall/lichenfall/submissions/client"
	"github.com/lichenfall/lichenfall/submissions/job"
)

// Plan is what to submit.
type Plan struct {
	Entries   []string // URLs; jobs go to them in turn
	Workspace string
	Pool      string
	Arrivals  Arrivals
	FanOut    Distribution // tasks of a job
	TaskTime  Distribution // milliseconds
	Duration  time.Duration
	Timeout   time.Duration // until a job's deadline
	Resend    float64       // share of jobs sent a second time, through another entry
	Seed      uint64
	MaxFanOut int
}

// Run carries out the plan and waits for all answers. progress is called every
// second; it may be nil.
func Run(ctx context.Context, p Plan, progress func(*Report)) *Report {
	g := &generator{plan: p, report: newReport(p)}
	for _, u := range p.Entries {
		g.clients = append(g.clients, client.New(u))
	}
	defer g.close()
	stop := g.watch(progress)
	start := time.Now()
	g.arrive(ctx, start)
	g.wg.Wait()
	stop()
	g.report.Elapsed = time.Since(start)
	return g.report
}

type generator struct {
	plan    Plan
	clients []*client.Client
	report  *Report
	wg      sync.WaitGroup
	sent    int
}

func (g *generator) close() {
	for _, c := range g.clients {
		c.Close()
	}
}

func (g *generator) watch(progress func(*Report)) (stop func()) {
	if progress == nil {
		return func() {}
	}
	done := make(chan struct{})
	go func() {
		tick := time.NewTicker(time.Second)
		defer tick.Stop()
		for {
			select {
			case <-done:
				return
			case <-tick.C:
				progress(g.report)
			}
		}
	}()
	return func() { close(done) }
}

// arrive sends each job at its time. A job that is late because this process
// was slow counts from the time at which it should have been sent.
func (g *generator) arrive(ctx context.Context, start time.Time) {
	for _, a := range Trace(g.plan) {
		due := start.Add(a.At)
		if wait := time.Until(due); wait > 0 {
			time.Sleep(wait)
		}
		if ctx.Err() != nil {
			return
		}
		g.send(ctx, a, due)
	}
}

func (g *generator) send(ctx context.Context, arrival Arrival, due time.Time) {
	r := g.request(arrival)
	entry := g.sent % len(g.clients)
	g.sent++
	g.wg.Add(1)
	go func() {
		defer g.wg.Done()
		a, err := g.clients[entry].Submit(ctx, r)
		g.report.add(r, a, err, time.Since(due), arrival.Longest())
	}()
	if arrival.Resend {
		other := (entry + 1) % len(g.clients)
		g.wg.Add(1)
		go func() {
			defer g.wg.Done()
			a, err := g.clients[other].Submit(ctx, r)
			g.report.addResend(r, a, err)
		}()
	}
}

func (g *generator) request(a Arrival) *job.Request {
	r := &job.Request{
		ID:        client.NewID(),
		Workspace: g.plan.Workspace,
		Pool:      g.plan.Pool,
		TimeoutMS: g.plan.Timeout.Milliseconds(),
		Tasks:     make([]job.TaskRequest, len(a.Times)),
	}
	for i, d := range a.Times {
		ms := float64(d) / float64(time.Millisecond)
		r.Tasks[i].Payload = json.RawMessage(fmt.Sprintf(`{"sleep_ms":%.3f,"echo":%s}`, ms, echo(r.ID, i)))
	}
	return r
}

// echo is what task i of a submission must be answered with.
func echo(id string, i int) string { return fmt.Sprintf(`"%s/%d"`, id, i) }

// right returns whether a complete answer holds every task's own result.
func right(r *job.Request, a *job.Answer) bool {
	if a.Submission != r.ID || len(a.Results) != len(r.Tasks) {
		return false
	}
	for i, res := range a.Results {
		if string(res) != echo(r.ID, i) {
			return false
		}
	}
	return true
}
