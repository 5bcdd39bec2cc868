package room_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/lichenfall/lichenfall/wire"
)

// BenchmarkAllocate measures the work after the end of one run: the capacity that it frees is
// allocated among twelve coordinators, each with waiting tasks of three priorities, and the
// orders of the coordinators that were granted some are accepted.
func BenchmarkAllocate(b *testing.B) {
	f := newFixture()
	request := func() {
		for i := range 12 {
			var rows []wire.WaitingGroup
			for p := range 3 {
				rows = append(rows, waits(100, 2+p, int64(10*p+i), 1))
				rows[p].Priority = int32(p)
			}
			f.request(fmt.Sprint("c", i), rows...)
		}
	}
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		if n%100 == 0 {
			request()
		}
		f.free = cores(2)
		f.pass(time.Millisecond)
		for _, owner := range f.allocate() {
			f.table.WaitingElsewhere(f.now, owner)
			f.use(owner, 2)
		}
		f.table.Events()
	}
}
