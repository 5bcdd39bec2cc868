package peer_test

import (
	"context"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"github.com/lichenfall/lichenfall/lib/peer"
	"github.com/lichenfall/lichenfall/lib/ports"
	"github.com/lichenfall/lichenfall/wire"
)

func TestPeer(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreTopFunction("github.com/onsi/ginkgo/v2/internal/interrupt_handler.(*InterruptHandler).registerForInterrupts.func2"))
	RegisterFailHandler(Fail)
	RunSpecs(t, "peer")
}

const long = "30s"

// side records the events and the faults at one end of connections. It implements Handler.
type side struct {
	mu     sync.Mutex
	ups    int
	downs  int
	got    []wire.Message
	conn   *peer.Conn
	faults map[string]int
}

func (s *side) lock() func() { s.mu.Lock(); return s.mu.Unlock }

func (s *side) Up(c *peer.Conn, _ *wire.Hello)       { defer s.lock()(); s.ups++; s.conn = c }
func (s *side) Message(_ *peer.Conn, m wire.Message) { defer s.lock()(); s.got = append(s.got, m) }
func (s *side) Down(*peer.Conn, error)               { defer s.lock()(); s.downs++ }
func (s *side) count() (ups, downs, got int)         { defer s.lock()(); return s.ups, s.downs, len(s.got) }
func (s *side) last() *peer.Conn                     { defer s.lock()(); return s.conn }
func (s *side) fault(reason string) int              { defer s.lock()(); return s.faults[reason] }
func (s *side) countFault(reason string)             { defer s.lock()(); s.faults[reason]++ }
func (s *side) up() int                              { n, _, _ := s.count(); return n }
func (s *side) down() int                            { _, n, _ := s.count(); return n }
func (s *side) received() int                        { _, _, n := s.count(); return n }

// counter is the Counter of a side.
type counter struct{ s *side }

func (c counter) Message(peer.Direction, wire.Message, int) {}
func (c counter) Fault(reason string)                       { c.s.countFault(reason) }

func newSide() *side { return &side{faults: make(map[string]int)} }

func hello(offset time.Duration) func() *wire.Hello {
	return func() *wire.Hello {
		return &wire.Hello{Version: wire.Version, Role: wire.RoleEntry, UnixMicros: time.Now().Add(offset).UnixMicro()}
	}
}

var _ = Describe("connections between processes", func() {
	var server, client *side
	var ctx context.Context
	// join connects a client whose clock differs by offset.
	join := func(offset time.Duration) *peer.Listener {
		server, client = newSide(), newSide()
		l, err := peer.Listen(ports.Any, peer.Options{Counter: counter{server}, MaxFrame: 1 << 16})
		Expect(err).NotTo(HaveOccurred())
		l.Serve(hello(0), server)
		DeferCleanup(l.Close)
		var cancel context.CancelFunc
		ctx, cancel = context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			peer.KeepConnected(ctx, l.Addr(), peer.Options{Counter: counter{client}, MaxFrame: 1 << 16, Backlog: 100}, hello(offset), client)
		}()
		DeferCleanup(func() { cancel(); <-done })
		return l
	}

	It("carry messages in order, in both directions", func() {
		join(0)
		Eventually(client.up, long).Should(Equal(1))
		for i := range uint64(50) {
			Expect(client.last().Send(&wire.Claim{Seq: i})).To(Succeed())
		}
		Eventually(server.received, long).Should(Equal(50))
		for i, m := range server.got {
			Expect(m.(*wire.Claim).Seq).To(Equal(uint64(i)))
		}
		Expect(server.last().Send(&wire.Ping{})).To(Succeed())
		Eventually(client.received, long).Should(Equal(1))
	})

	It("are made again after they are lost", func() {
		join(0)
		Eventually(server.up, long).Should(Equal(1))
		server.last().Close(peer.ErrClosed)
		Eventually(client.down, long).Should(Equal(1))
		Eventually(client.up, long).Should(Equal(2))
		Expect(client.last().Send(&wire.Ping{})).To(Succeed())
		Eventually(server.received, long).Should(Equal(1))
	})

	It("are refused if the clocks differ too much (hazard 10)", func() {
		join(10 * time.Second)
		Eventually(func() int { return server.fault("clock") }, long).Should(BeNumerically(">", 0))
		Expect(server.up()).To(BeZero())
	})

	It("are closed if a message to be sent exceeds the frame limit", func() {
		join(0)
		Eventually(client.up, long).Should(Equal(1))
		c := client.last()
		Expect(c.Send(&wire.Fetched{Answer: make([]byte, 1<<17)})).To(Succeed())
		Eventually(client.down, long).Should(Equal(1))
		Expect(client.fault("own_frame_too_long")).To(Equal(1))
		Expect(c.Send(&wire.Ping{})).To(MatchError(peer.ErrClosed))
	})

	It("are closed when the network drops all packets, and made again", func() {
		server, client := newSide(), newSide()
		l, err := peer.Listen(ports.Any, peer.Options{Counter: counter{server}, ReadLimit: time.Second})
		Expect(err).NotTo(HaveOccurred())
		l.Serve(hello(0), server)
		DeferCleanup(l.Close)
		r := newRelay(l.Addr())
		DeferCleanup(r.close)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			opts := peer.Options{Counter: counter{client}, AckLimit: 100 * time.Millisecond}
			peer.KeepConnected(ctx, r.address(), opts, hello(0), client)
		}()
		DeferCleanup(func() { cancel(); <-done })
		Eventually(client.up, long).Should(Equal(1))
		Expect(client.last().Send(&wire.Ping{})).To(Succeed())
		Eventually(server.received, long).Should(Equal(1), "the handler gets no keep-alive")
		r.silence()
		Eventually(func() error { return client.last().Send(&wire.Ping{}) }, long).Should(MatchError(peer.ErrClosed))
		Expect(client.fault("silent")).To(Equal(1))
		Eventually(client.up, long).Should(Equal(2))
		Eventually(server.down, long).Should(BeNumerically(">=", 1), "the other end, which writes nothing, closes its connection too")
		Expect(server.fault("silent")).To(BeNumerically(">=", 1))
	})

	It("stay open while the peer only answers keep-alives", func() {
		server, client := newSide(), newSide()
		l, err := peer.Listen(ports.Any, peer.Options{Counter: counter{server}})
		Expect(err).NotTo(HaveOccurred())
		l.Serve(hello(0), server)
		DeferCleanup(l.Close)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			peer.KeepConnected(ctx, l.Addr(), peer.Options{Counter: counter{client}, AckLimit: time.Second}, hello(0), client)
		}()
		DeferCleanup(func() { cancel(); <-done })
		Eventually(client.up, long).Should(Equal(1))
		for range 25 {
			Expect(client.last().Send(&wire.Ping{})).To(Succeed())
			time.Sleep(100 * time.Millisecond)
		}
		Expect(client.fault("silent")).To(BeZero())
		Expect(client.down()).To(BeZero())
	})
})
