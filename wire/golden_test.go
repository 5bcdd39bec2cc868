package wire

import (
	"fmt"
	"reflect"
	"strings"
	"testing"

	"github.com/lichenfall/lichenfall/lib/golden"
)

// TestEncodedMessages compares the encoding of one message of each kind, with every field set, with
// the golden file: processes of an earlier version have to be able to read it.
func TestEncodedMessages(t *testing.T) {
	var out strings.Builder
	for _, k := range Kinds() {
		m := newMessage(k)
		next := uint64(0)
		fill(reflect.ValueOf(m).Elem(), &next)
		b, err := Append(nil, m)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&out, "%d %s %x\n", k, k, b)
	}
	golden.Check(t, "messages.golden", out.String())
}

// fill sets every field to a different value, derived from the counter next.
func fill(v reflect.Value, next *uint64) {
	*next++
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			fill(v.Field(i), next)
		}
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem(), next)
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		for i := range v.Len() {
			fill(v.Index(i), next)
		}
	case reflect.String:
		v.SetString(fmt.Sprintf("s%d", *next))
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(-int64(*next % 100))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(*next % 200)
	case reflect.Float64:
		v.SetFloat(float64(*next) + 0.5)
	default:
		panic("unsupported field kind " + v.Kind().String())
	}
}
