package scheduler_test

import (
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/lichenfall/lichenfall/jobs/scheduler"
	"github.com/lichenfall/lichenfall/wire"
)

// On a third of the servers runs take 0.6 times their estimates, on a third 1.0 times and on a third 1.6
// times. On the slow ones short jobs are in time if they begin at once, and long jobs are always late.

// unequalKinds returns kinds of jobs that together take about half of the capacity.
func unequalKinds() []kindOfJob {
	return []kindOfJob{
		{name: "quote", priority: 1, perSecond: 48, width: 8, work: 51 * time.Millisecond},
		{name: "slice", priority: 1, perSecond: 9, width: 4, work: 760 * time.Millisecond},
		{name: "vet", priority: 1, perSecond: 100, width: 2, work: 170 * time.Millisecond},
	}
}

// unequal describes servers of different speed and the load on them.
type unequal struct {
	factors  []float64 // of the workers, in turn
	bySpeed  bool
	remote   float64 // LoadPolicy.RemoteFactor; 1 where racks make no difference
	overload float64 // factor on the rates of the kinds
}

var thirds = []float64{0.6, 1, 1.6}

// load returns the load. Workers 0, 1 and 2 of the ten are in rack r0, the next three in r1 and so on.
func (u unequal) load(kinds []kindOfJob) loadConfig {
	set := desk(slices.Clone(kinds))
	set.seeds = 2
	for i := range set.kinds {
		set.kinds[i].perSecond *= u.overload
	}
	set.policy.PlaceBySpeed, set.policy.RemoteFactor = u.bySpeed, u.remote
	set.factor = func(i int) float64 { return u.factors[i%len(u.factors)] }
	return set
}

func rackOf(i int) string { return fmt.Sprintf("r%d", i/3) }

// distance returns the factor by which the run takes longer than the order's estimate because the worker
// is not in the rack of the run's data.
func (w *loadWorker) distance(order *wire.RunOrder) float64 {
	rack := w.p.rackOfData(order)
	if w.p.set.policy.PlaceBySpeed || rack == "" || rack == rackOf(w.number) {
		return 1 // near, or the order's estimate includes the distance
	}
	return w.p.set.policy.RemoteFactor
}

// rackOfData returns the rack of the data of the run's job.
func (p *loadSim) rackOfData(order *wire.RunOrder) string {
	call, err := strconv.ParseUint(string(order.Ref.Task.Job), 16, 64)
	if err != nil {
		panic(err)
	}
	return p.set.kinds[p.jobs[scheduler.Call(call)].kind].rack
}

func logOutcomes(t *testing.T, what string, kinds []kindOfJob, out []outcome) {
	for i, k := range kinds {
		t.Logf("%-12s %-8s %.3f in time, %d refused of %d", what, k.name, out[i].share(), out[i].refused, out[i].sent)
	}
}

// TestUnequalServersAllInTime checks that all jobs are in time while much capacity is free, and that long
// tasks do not run on servers where they would be late.
func TestUnequalServersAllInTime(t *testing.T) {
	kinds := unequalKinds()
	set := unequal{factors: thirds, bySpeed: true, remote: 1, overload: 0.5}.load(kinds)
	set.onStart = func(w *loadWorker, r *loadRun) {
		if r.order.EstimateMS > 500 && w.factor > 1 {
			t.Errorf("a run of %d ms begins on a server of %.1f", r.order.EstimateMS, w.factor)
		}
	}
	out := simulateLoads(set).kinds
	logOutcomes(t, "calm", kinds, out)
	for i := range out {
		if out[i].share() < 0.99 || out[i].refused > 0 {
			t.Errorf("%s: %.3f in time, %d refused", kinds[i].name, out[i].share(), out[i].refused)
		}
	}
}

// TestUnequalServersInOverload checks, in a burst that offers a third more work than the capacity, that
// jobs with little slack are in time more often when placement takes speed into account, and that the
// other kinds lose no more than 0.05 of their share in time.
func TestUnequalServersInOverload(t *testing.T) { checkUnequalOverload(t, 1) }

// TestUnequalServersAtTwiceTheRoom checks, in a burst that offers twice as much work as the capacity, that
// jobs with little slack are in time more often when placement takes speed into account, and that the
// other kinds lose no more than 0.05 of their share in time.
func TestUnequalServersAtTwiceTheRoom(t *testing.T) { checkUnequalOverload(t, 1.6) }

func checkUnequalOverload(t *testing.T, overload float64) {
	kinds := unequalKinds()
	u := unequal{factors: thirds, remote: 1, overload: overload}
	without := simulateLoads(u.load(kinds)).kinds
	u.bySpeed = true
	with := simulateLoads(u.load(kinds)).kinds
	logOutcomes(t, fmt.Sprintf("%.1f off", overload), kinds, without)
	logOutcomes(t, fmt.Sprintf("%.1f on", overload), kinds, with)
	if tight := with[1].share() - without[1].share(); tight < 0.1 {
		t.Errorf("jobs with little slack: share in time higher by only %.3f", tight)
	}
	for _, i := range []int{0, 2} {
		if with[i].share() < without[i].share()-0.05 {
			t.Errorf("%s: %.3f in time, without %.3f", kinds[i].name, with[i].share(), without[i].share())
		}
	}
}

// TestHotRack simulates jobs whose data is in one rack, beside other jobs, with bursts. They need half of
// the rack's capacity or all of it while they are late in other racks, and all of it while they may be
// in time in other racks.
func TestHotRack(t *testing.T) {
	for _, c := range []struct {
		perSecond, remote float64
		gain, near        float64 // least gain in time over placement without speed; least share of runs near the data
	}{
		{20, 3, 0.05, 0.95}, // the rack has capacity for all: hardly any task should run elsewhere
		{40, 3, 0.05, 0.65},
		{40, 1.5, -0.03, 0.55},
	} {
		kinds := []kindOfJob{
			{name: "hot", priority: 1, perSecond: c.perSecond, width: 2, work: 400 * time.Millisecond, rack: rackOf(0)},
			{name: "vet", priority: 1, perSecond: 60, width: 2, work: 170 * time.Millisecond},
		}
		without, _ := simulateHotRack(kinds, c.remote, false)
		with, near := simulateHotRack(kinds, c.remote, true)
		what := fmt.Sprintf("%.0f/s, x %.1f", c.perSecond, c.remote)
		logOutcomes(t, what+" off", kinds, without)
		logOutcomes(t, what+" on", kinds, with)
		t.Logf("%s: %.3f of the runs near their data", what, near)
		if gain := with[0].share() - without[0].share(); gain < c.gain || near < c.near {
			t.Errorf("%s: %.3f more in time, %.3f near", what, gain, near)
		}
		if with[0].refused > without[0].refused+with[0].sent/100 {
			t.Errorf("%s: %d of the rack's jobs are refused, %d without", what, with[0].refused, without[0].refused)
		}
		if with[1].share() < without[1].share()-0.02 {
			t.Errorf("%s: other jobs are served worse: %.3f in time, without %.3f", what, with[1].share(), without[1].share())
		}
	}
}

// simulateHotRack returns the outcomes, and the share of the runs with data that ran in its rack.
func simulateHotRack(kinds []kindOfJob, remote float64, bySpeed bool) (out []outcome, share float64) {
	near, all := 0, 0
	u := unequal{factors: []float64{1}, bySpeed: bySpeed, remote: remote, overload: 1}
	set := u.load(kinds)
	set.onStart = func(w *loadWorker, r *loadRun) {
		rack := w.p.rackOfData(&r.order)
		if rack == "" {
			return
		}
		all++
		if rack == rackOf(w.number) {
			near++
		}
	}
	return simulateLoads(set).kinds, float64(near) / float64(max(1, all))
}

// TestEqualServersAsBefore checks that, where all servers are equally fast, placement by speed sends the
// same tasks to the same workers as placement without it.
func TestEqualServersAsBefore(t *testing.T) {
	orders := func(bySpeed bool) []string {
		var out []string
		u := unequal{factors: []float64{1}, bySpeed: bySpeed, remote: 1, overload: 1}
		set := u.load(unequalKinds())
		set.onStart = func(w *loadWorker, r *loadRun) { out = append(out, fmt.Sprint(w.p.at(), w.name, r.order)) }
		simulateLoads(set)
		return out
	}
	if !slices.Equal(orders(true), orders(false)) {
		t.Error("placement by speed chooses other workers")
	}
}
