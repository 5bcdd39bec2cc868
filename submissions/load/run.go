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

// Plan describes the jobs of a run.
type Plan struct {
	Entries   []string // URLs; jobs are sent to them in rotation
	Workspace string
	Pool      string
	Arrivals  Arrivals
	FanOut    Distribution // tasks per job
	TaskTime  Distribution // milliseconds
	Duration  time.Duration
	Timeout   time.Duration // from sending a job to its deadline
	Resend    float64       // share of jobs sent a second time, through another entry
	Seed      uint64
	MaxFanOut int // limit of the tasks per job
}

// Run sends the jobs of the plan and waits for all answers. If ctx ends, it sends no more jobs and
// abandons those in flight. Unless it is nil, progress is called every second.
func Run(ctx context.Context, p Plan, progress func(*Report)) *Report {
	g := &generator{plan: p, report: newReport(p)}
	for _, u := range p.Entries {
		g.clients = append(g.clients, client.New(u))
	}
	defer g.close()
	stop := g.reportProgress(progress)
	start := time.Now()
	g.sendAll(ctx, start)
	g.wg.Wait()
	stop()
	g.report.Elapsed = time.Since(start)
	return g.report
}

// generator is the state of one run.
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

// reportProgress calls progress every second until stop is called.
func (g *generator) reportProgress(progress func(*Report)) (stop func()) {
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

// sendAll sends each job at its planned time. Latency is counted from that time, so that it includes
// the delay of a job that this process sent late.
func (g *generator) sendAll(ctx context.Context, start time.Time) {
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

// send sends one job in a goroutine of its own, and a second time through another entry if the plan
// says so.
func (g *generator) send(ctx context.Context, arrival Arrival, due time.Time) {
	r := g.request(arrival)
	entry := g.sent % len(g.clients)
	g.sent++
	g.wg.Add(1)
	go func() {
		defer g.wg.Done()
		a, err := g.clients[entry].Submit(ctx, r)
		g.report.recordAnswer(r, a, err, time.Since(due), arrival.Longest())
	}()
	if arrival.Resend {
		other := (entry + 1) % len(g.clients)
		g.wg.Add(1)
		go func() {
			defer g.wg.Done()
			a, err := g.clients[other].Submit(ctx, r)
			g.report.recordResend(r, a, err)
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
		r.Tasks[i].Payload = json.RawMessage(fmt.Sprintf(`{"sleep_ms":%.3f,"echo":%s}`, ms, echoOf(r.ID, i)))
	}
	return r
}

// echoOf returns the expected result of task i of a submission.
func echoOf(id string, i int) string { return fmt.Sprintf(`"%s/%d"`, id, i) }

// correct reports whether a complete answer holds the expected result of every task.
func correct(r *job.Request, a *job.Answer) bool {
	if a.Submission != r.ID || len(a.Results) != len(r.Tasks) {
		return false
	}
	for i, res := range a.Results {
		if string(res) != echoOf(r.ID, i) {
			return false
		}
	}
	return true
}
