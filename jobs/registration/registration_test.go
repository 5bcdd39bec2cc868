package registration_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/jobs/registration"
	"github.com/lichenfall/lichenfall/jobs/store"
	"github.com/lichenfall/lichenfall/lib/logging"
)

// records is a store that holds the records of processes and nothing else.
type records struct {
	store.Store // nil: none of its other methods is called
	members     map[string]store.Member
	refuseUntil time.Time
	refusals    int
	writes      []time.Time
}

func (r *records) Register(_ context.Context, m store.Member) error {
	if time.Now().Before(r.refuseUntil) {
		r.refusals++
		return store.ErrRefused
	}
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

func TestRegistrar(t *testing.T) {
	never := func() bool { return false }
	for _, c := range []struct {
		name             string
		reported         *store.Member // by a coordinator
		after            time.Duration // from the start to the report
		read             *store.Member // by the process itself
		writes           int
		earliest, latest time.Duration
	}{
		{name: "a record that nobody reports is written soon", writes: 1, earliest: time.Second, latest: 2 * time.Second},
		{name: "a stored record that is reported is not written again", reported: new(record("i-1")), after: 200 * time.Millisecond},
		{name: "a stored record that was read is not written again", read: new(record("i-1"))},
		{name: "an update of a stored record is delayed", reported: new(record("i-0")), writes: 1, earliest: time.Millisecond, latest: 5 * time.Second},
		{name: "a record with a new role is written at once", reported: &store.Member{Address: address, Role: store.RoleCoordinator}, writes: 1},
		{name: "a late report changes nothing", reported: new(record("i-0")), after: 3 * time.Second, writes: 1, earliest: time.Second, latest: 2 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := &records{members: make(map[string]store.Member)}
				began := time.Now()
				registrar := registration.NewRegistrar(r, logging.Discard())
				if c.read != nil {
					registrar.SetRecorded(*c.read, true)
				}
				if c.reported != nil {
					time.AfterFunc(c.after, func() { registrar.Report(*c.reported) })
				}
				registrar.Register(context.Background(), record("i-1"), never)
				if len(r.writes) != c.writes {
					t.Fatalf("%d writes, want %d", len(r.writes), c.writes)
				}
				for _, at := range r.writes {
					if took := at.Sub(began); took < c.earliest || took > c.latest {
						t.Errorf("written after %v, want between %v and %v", took, c.earliest, c.latest)
					}
				}
				time.Sleep(c.after)
				registrar.Register(context.Background(), record("i-1"), never)
				if len(r.writes) != c.writes {
					t.Error("the same record was written again")
				}
			})
		})
	}
}

// TestRefusedRegistrations checks that a process backs off, with random pauses, while the store
// refuses appends, and registers soon after the store accepts them again.
func TestRefusedRegistrations(t *testing.T) {
	const outage = 30 * time.Second
	synctest.Test(t, func(t *testing.T) {
		r := &records{members: make(map[string]store.Member), refuseUntil: time.Now().Add(outage)}
		began := time.Now()
		registration.NewRegistrar(r, logging.Discard()).Register(context.Background(), record("i-1"), func() bool { return false })
		if r.refusals > 14 {
			t.Errorf("%d refused appends in %v", r.refusals, outage)
		}
		if late := time.Since(began) - outage; late > 6*time.Second {
			t.Errorf("registered %v after the end of the outage", late)
		}
	})
}
