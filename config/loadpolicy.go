package config

import (
	"time"

	"github.com/lichenfall/lichenfall/jobs/room"
	"github.com/lichenfall/lichenfall/jobs/scheduler"
)

// LoadPolicy is the coordinator's section on scheduling when demand exceeds the capacity, or backend
// servers differ in speed. Each part can be switched off; with equal servers, one priority and
// enough capacity for all tasks, none of them has an effect.
type LoadPolicy struct {
	// PlaceBySpeed makes placement, run limits and outlier detection take the baseline speed of
	// each backend server into account.
	PlaceBySpeed bool `json:"place_by_speed"`
	// AskForRoom makes coordinators request capacity from workers, which grant it in the order
	// of all waiting tasks. Otherwise the first request to start a run gets the capacity.
	AskForRoom bool `json:"ask_for_room"`
	// AdmitByAll makes admission count the waiting work of all coordinators that request
	// capacity.
	AdmitByAll bool `json:"admit_by_all"`
	// OrderByPriority makes each priority precede the lower ones. Otherwise only the highest
	// priority precedes the others.
	OrderByPriority bool `json:"order_by_priority"`
	// RemoteFactor is how many times as long a task takes outside the rack of its data; the
	// users' platform determines it. 1 if there is no difference.
	RemoteFactor float64 `json:"remote_factor"`
}

// DefaultLoadPolicy returns the defaults of LoadPolicy.
func DefaultLoadPolicy() LoadPolicy {
	return LoadPolicy{PlaceBySpeed: true, AskForRoom: true, AdmitByAll: true, OrderByPriority: true, RemoteFactor: 1}
}

// Core returns the settings of the scheduler's core.
func (l *LoadPolicy) Core() scheduler.LoadPolicy {
	return scheduler.LoadPolicy(*l)
}

func (l *LoadPolicy) check(c *checker) {
	between(c, "scheduler.load.remote_factor", l.RemoteFactor, 1, 1000)
}

// Room is the worker's section on granting free capacity to coordinators that request it.
type Room struct {
	GrantTTL   Duration `json:"grant"` // how long advertised capacity is reserved for a coordinator
	RequestTTL Duration `json:"ask"`   // how long a capacity request is valid if it is not repeated
}

// DefaultRoom returns the defaults of Room.
func DefaultRoom() Room {
	return Room{GrantTTL: Duration(15 * time.Millisecond), RequestTTL: Duration(150 * time.Millisecond)}
}

// Core returns the settings of a room.Table.
func (r *Room) Core() room.Settings {
	return room.Settings{GrantTTL: r.GrantTTL.D(), RequestTTL: r.RequestTTL.D()}
}

func (r *Room) check(c *checker) {
	second := Duration(time.Second)
	c.durationBetween("runs.room.grant", r.GrantTTL, Duration(time.Millisecond), second)
	c.durationBetween("runs.room.ask", r.RequestTTL, Duration(10*time.Millisecond), 10*second)
}
