package scheduler_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lichenfall/lichenfall/jobs/routing"
	"github.com/lichenfall/lichenfall/jobs/scheduler"
	"github.com/lichenfall/lichenfall/lib/failure"
	"github.com/lichenfall/lichenfall/wire"
)

// workerIn connects a worker in the data centre.
func (f *fixture) workerIn(dataCentre, name string) {
	f.core.WorkerUp(f.now, name, dataCentre)
	f.status(name, 4000)
	f.core.Runs(f.now, name, &wire.PartitionRuns{Partition: f.partition(), Epoch: epoch})
	f.core.Confirmed(f.now, f.now)
}

// evacuate sets the evacuated data centres, as read from the store at the offset.
func (f *fixture) evacuate(offset uint64, dataCentres ...string) bool {
	return f.core.Evacuate(f.now, routing.Evacuations{Offset: offset, DataCentres: dataCentres})
}

var _ = Describe("an evacuated data centre", func() {
	var f *fixture
	BeforeEach(func() {
		f = newFixture()
		f.workerIn("lautoka", "w1")
		f.workerIn("nadi", "w2")
		f.core.Take(f.now)
	})

	It("gets no tasks until its evacuation ends", func() {
		Expect(f.evacuate(2, "nadi")).To(BeTrue())
		f.core.Submit(f.now, 1, bestEffort(2), 0)
		for _, run := range f.orders(f.core.Take(f.now)) {
			Expect(run.worker).To(Equal("w1"))
		}
		f.evacuate(3)
		f.status("w1", 0)
		f.status("w2", 4000)
		other := bestEffort(1)
		other.ID = "5c0e7a21d94b36f9"
		f.core.Submit(f.now, 2, other, 0)
		Expect(f.next().worker).To(Equal("w2"))
	})

	It("is announced to its workers at once", func() {
		f.evacuate(2, "nadi")
		announced := make(map[string]*wire.Evacuations)
		for _, s := range f.core.Take(f.now).Sends {
			if m, ok := s.Message.(*wire.OwnerHeartbeat); ok {
				announced[s.Worker] = m.Evacuations
			}
		}
		Expect(announced).To(HaveKeyWithValue("w2", &wire.Evacuations{Offset: 2, DataCentres: []string{"nadi"}}))
	})

	It("adds no capacity: what does not fit elsewhere is refused", func() {
		f.evacuate(2, "nadi")
		f.status("w1", 0)
		f.core.Submit(f.now, 1, bestEffort(80), 0)
		Expect(f.core.Take(f.now).Replies).To(BeEmpty(), "no other job waits before it")
		other := bestEffort(1)
		other.ID = "5c0e7a21d94b36f9"
		f.core.Submit(f.now, 2, other, 0)
		Expect(f.core.Take(f.now).Replies).To(ConsistOf(HaveField("Failure", failure.Overloaded)))
		n, _ := f.core.WorkersWanted(f.now, "s")
		Expect(n).To(BeNumerically("<=", 1))
	})

	It("gets no tasks at a worker that connects later, or becomes preferred again", func() {
		f.evacuate(2, "nadi")
		f.workerIn("nadi", "w3")
		f.core.SetPreference("w2", scheduler.Excluded)
		f.core.SetPreference("w2", scheduler.Preferred)
		f.core.Submit(f.now, 1, bestEffort(2), 0)
		for _, run := range f.orders(f.core.Take(f.now)) {
			Expect(run.worker).To(Equal("w1"))
		}
	})

	It("stays evacuated despite an older reading", func() {
		f.evacuate(5, "nadi")
		Expect(f.evacuate(4)).To(BeFalse())
		Expect(f.core.Evacuated("nadi")).To(BeTrue())
	})

	It("has all jobs refused at once, queued or new, if there is no other data centre", func() {
		f.status("w1", 0)
		f.status("w2", 0)
		f.core.Submit(f.now, 1, bestEffort(1), 0)
		Expect(f.core.Take(f.now).Replies).To(BeEmpty())
		f.evacuate(2, "lautoka", "nadi")
		Expect(f.core.Take(f.now).Replies).To(ConsistOf(HaveField("Failure", failure.Overloaded)))
		f.core.Submit(f.now, 2, bestEffort(1), 0)
		Expect(f.core.Take(f.now).Replies).To(ConsistOf(HaveField("Failure", failure.Overloaded)))
		Expect(f.core.Serving(f.now)).To(BeFalse())
	})

	It("may be any before the first reading: no tasks are started", func() {
		core := scheduler.New(f.cfg.Core("nadi"), 1)
		f.core = core
		f.workerIn("nadi", "w1")
		f.core.Submit(f.now, 1, bestEffort(1), 0)
		Expect(f.orders(f.core.Take(f.now))).To(BeEmpty())
		f.evacuate(1)
		Expect(f.orders(f.core.Take(f.now))).To(HaveLen(1))
	})

	It("is announced with the age of the reading, so that workers know how current it is", func() {
		f.evacuate(2, "nadi")
		f.core.Take(f.now)
		f.pass(300 * time.Millisecond)
		for _, s := range f.core.Take(f.now).Sends {
			if m, ok := s.Message.(*wire.OwnerHeartbeat); ok {
				Expect(m.Evacuations.AgeMS).To(BeEquivalentTo(300))
			}
		}
	})
})
