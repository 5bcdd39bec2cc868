//go:build review

package harness3

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// openCall is a request on a connection that its client opened before.
type openCall struct {
	id     string
	sent   time.Time
	ended  time.Time
	status int   // of a complete answer; else 0
	err    error // why there is none
}

// stoppedInTurn: the fronts get SIGTERM and start again, one after the other, in two rounds. Clients with
// connections that were open before send best-effort jobs 3.05 to 3.53 s after the signal, of five steps of
// 0.5 s. Each has to be answered, be it by a refusal.
func stoppedInTurn(b *bed) ([]string, error) {
	const rounds = 2
	var violations []string
	for turn := range rounds * fronts {
		found, err := b.stopOne(turn % fronts)
		if err != nil {
			return nil, err
		}
		violations = append(violations, found...)
	}
	return violations, nil
}

// stopOne stops a front while clients send to it, starts it again, and returns what was lost.
func (b *bed) stopOne(front int) ([]string, error) {
	const (
		clients = 70
		first   = 3050 * time.Millisecond // after the signal; the rule excuses some that are sent up to 3 s after
		every   = 7 * time.Millisecond
		grace   = 6 * time.Second
	)
	term := time.Now().Add(500 * time.Millisecond)
	calls := make([]openCall, clients)
	var open, answered sync.WaitGroup
	failures := make(chan error, clients)
	for i := range calls {
		open.Add(1)
		answered.Add(1)
		go func() {
			defer answered.Done()
			c, r, err := b.openConn(front)
			open.Done()
			if err != nil {
				failures <- err
				return
			}
			defer c.Close()
			time.Sleep(time.Until(term.Add(first + time.Duration(i)*every)))
			calls[i] = b.sendChain(c, r)
		}()
	}
	open.Wait()
	if len(failures) > 0 {
		return nil, <-failures
	}
	time.Sleep(time.Until(term))
	p := b.processes[front]
	if b.trouble {
		_ = p.cmd.Process.Signal(syscall.SIGTERM)
		b.rec.add("process", "%s gets SIGTERM", p.name)
	}
	answered.Wait()
	if b.trouble {
		select {
		case <-p.done:
		case <-time.After(time.Until(term.Add(grace))):
			b.kill(p)
		}
		if err := b.start(p); err != nil {
			return nil, err
		}
	}
	violations := b.brokenOff(front, term, calls)
	time.Sleep(1500 * time.Millisecond) // the front is back, and nothing is left of the jobs
	return violations, nil
}

// openConn opens a connection to a front and makes a first call on it.
func (b *bed) openConn(front int) (net.Conn, *bufio.Reader, error) {
	c, err := net.Dial("tcp", b.fronts[front])
	if err != nil {
		return nil, nil, err
	}
	r := bufio.NewReader(c)
	status, err := callOn(c, r, http.MethodGet, "", nil)
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("the first call is answered with %d", status)
	}
	return c, r, err
}

// sendChain sends a best-effort job of five steps, each after the one before.
func (b *bed) sendChain(c net.Conn, r *bufio.Reader) openCall {
	todo := work{MS: 500, CPU: 250, Mem: 16}
	steps := todo.steps(1, "")
	for i := range uint32(4) {
		next := todo.steps(1, "")[0]
		next.DependsOn = []uint32{i}
		steps = append(steps, next)
	}
	call := openCall{id: jobID(), sent: time.Now()}
	call.status, call.err = callOn(c, r, http.MethodPost, call.id, map[string]any{"spec": todo.spec(), "steps": steps, "best-effort": true})
	call.ended = time.Now()
	return call
}

// callOn makes a call on a connection and reads the whole answer.
func callOn(c net.Conn, r *bufio.Reader, method, path string, body any) (status int, err error) {
	var text []byte
	if body != nil {
		text, _ = json.Marshal(body)
	}
	_, err = fmt.Fprintf(c, "%s %s%s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nX-Time-Remaining: 8000\r\nContent-Length: %d\r\n\r\n%s",
		method, prefix, path, host, len(text), text)
	if err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// brokenOff records how the calls ended, and returns those that an executor had begun to work on and whose
// connection ended without a complete answer.
func (b *bed) brokenOff(front int, term time.Time, calls []openCall) []string {
	var violations []string
	byStatus := make(map[int]int)
	for _, call := range calls {
		byStatus[call.status]++
		runs := b.runs(call.id)
		b.rec.add("answer", "POST %s at front-%d, sent %.3f s after SIGTERM: %d after %.3f s, error %v, %d runs begun",
			call.id, front+1, call.sent.Sub(term).Seconds(), call.status, call.ended.Sub(call.sent).Seconds(), call.err, len(runs))
		if call.err != nil && len(runs) > 0 {
			violations = append(violations, fmt.Sprintf("job %s was sent to front-%d %.3f s after SIGTERM and begun by %s; its connection ended %.3f s after SIGTERM without a complete answer: %v",
				call.id, front+1, call.sent.Sub(term).Seconds(), runs[0].Executor, call.ended.Sub(term).Seconds(), call.err))
		}
	}
	b.rec.add("seen", "front-%d stops: answers by status, 0 for none: %v", front+1, byStatus)
	return violations
}
