package registration_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/jobs/registration"
	"github.com/lichenfall/lichenfall/jobs/store"
	"github.com/lichenfall/lichenfall/lib/logging"
)

// records is a store that holds the records of processes alone.
type records struct {
	store.Store // none of its other methods is called
	members     map[string]store.Member
	unreadable  bool
	reads       int
	writes      []time.Time
}

func (r *records) Member(_ context.Context, address string) (store.Member, bool, error) {
	r.reads++
	if r.unreadable {
		return store.Member{}, false, errors.New("no answer")
	}
	m, found := r.members[address]
	return m, found, nil
}

func (r *records) Register(_ context.Context, m store.Member) error {
	r.writes = append(r.writes, time.Now())
	r.members[m.Address] = m
	return nil
}

const address = "10.0.0.1:7720"

func record(instance string) store.Member {
	return store.Member{Address: address, Role: store.RoleWorker, DataCentre: "nadi", Backend: &store.Backend{
		Instance: instance, Service: "s", Ready: true, Capacity: durable.Resources{CPU: 16000}, Labels: []string{"a"},
	}}
}

func TestKeeper(t *testing.T) {
	never := func() bool { return false }
	for _, c := range []struct {
		name             string
		before           *store.Member
		unreadable       bool
		writes           int
		earliest, latest time.Duration
	}{
		{name: "an address that is not known is registered at once", writes: 1},
		{name: "a record that is there is not written again", before: new(record("i-1")), writes: 0},
		{name: "what is new of an address that is known is put off", before: new(record("i-0")), writes: 1, earliest: time.Millisecond, latest: 5 * time.Second},
		{name: "what cannot be read is written after some tries", unreadable: true, writes: 1, earliest: 900 * time.Millisecond, latest: 900 * time.Millisecond},
		{name: "the record of another role is written at once", before: &store.Member{Address: address, Role: store.RoleCoordinator}, writes: 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := &records{members: make(map[string]store.Member), unreadable: c.unreadable}
				if c.before != nil {
					r.members[address] = *c.before
				}
				began := time.Now()
				k := registration.NewKeeper(r, address, logging.Discard())
				k.Keep(context.Background(), record("i-1"), never)
				if len(r.writes) != c.writes {
					t.Fatalf("%d writes, not %d", len(r.writes), c.writes)
				}
				for _, at := range r.writes {
					if took := at.Sub(began); took < c.earliest || took > c.latest {
						t.Errorf("written after %v, not between %v and %v", took, c.earliest, c.latest)
					}
				}
				k.Keep(context.Background(), record("i-1"), never)
				if len(r.writes) != c.writes {
					t.Error("the same record was written again")
				}
				if !c.unreadable && r.reads != 1 {
					t.Errorf("the record was read %d times", r.reads)
				}
			})
		})
	}
}
