package room_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/lichenfall/lichenfall/wire"
)

// BenchmarkShare shares the room of one end among twelve coordinators of three priorities
// each, all of which wait, and takes the answer.
func BenchmarkShare(b *testing.B) {
	f := newFixture()
	ask := func() {
		for i := range 12 {
			var rows []wire.RoomWait
			for p := range 3 {
				rows = append(rows, waits(100, 2+p, int64(10*p+i), 1))
				rows[p].Priority = int32(p)
			}
			f.ask(fmt.Sprint("c", i), rows...)
		}
	}
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		if n%100 == 0 {
			ask()
		}
		f.free = cores(2)
		f.pass(time.Millisecond)
		for _, owner := range f.share() {
			f.table.WaitingElsewhere(f.now, owner)
			f.use(owner, 2)
		}
		f.table.Events()
	}
}
