package wire_test

import (
	"testing"

	"github.com/lichenfall/lichenfall/wire"
)

func benchmarkPlace() *wire.Place {
	m := &wire.Place{Seq: 1, Job: 2, Submission: "01a23640-d9d1-7b19-8c59-77306f9199ef", Workspace: "tabua"}
	for i := range uint32(8) {
		m.Tasks = append(m.Tasks, wire.Task{Index: i, Attempt: 1, Payload: make([]byte, 64)})
	}
	return m
}

func BenchmarkAppendPlaceOf8(b *testing.B) {
	m := benchmarkPlace()
	var buf []byte
	for b.Loop() {
		var err error
		if buf, err = wire.Append(buf[:0], m); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkDecodePlaceOf8(b *testing.B) {
	buf, err := wire.Append(nil, benchmarkPlace())
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if _, err := wire.Decode(buf[4:]); err != nil {
			b.Fatal(err)
		}
	}
}
