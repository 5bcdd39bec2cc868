package config

import (
	"time"

	"github.com/lichenfall/lichenfall/jobs/room"
	"github.com/lichenfall/lichenfall/jobs/scheduler"
)

// LoadPolicy is the coordinator's section on what it does when not all that is asked for fits, or
// servers are not alike. Each part can be switched off; with equal servers, one priority and
// room for all, none of them changes anything.
type LoadPolicy struct {
	// PlaceBySpeed has tasks placed, limited and judged by the usual speed of servers.
	PlaceBySpeed bool `json:"place_by_speed"`
	// AskForRoom has workers share out room by the order of all that waits, in place of a
	// race of orders.
	AskForRoom bool `json:"ask_for_room"`
	// AdmitByAll has jobs judged by what waits at all coordinators that ask for room.
	AdmitByAll bool `json:"admit_by_all"`
	// OrderByPriority has each priority come before the later ones, and not the first alone.
	OrderByPriority bool `json:"order_by_priority"`
	// RemoteFactor is how many times as long a task takes away from its data; the users'
	// platform sets it. 1 where it makes no difference.
	RemoteFactor float64 `json:"remote_factor"`
}

// DefaultLoadPolicy returns the defaults of LoadPolicy.
func DefaultLoadPolicy() LoadPolicy {
	return LoadPolicy{PlaceBySpeed: true, AskForRoom: true, AdmitByAll: true, OrderByPriority: true, RemoteFactor: 1}
}

// Core returns the settings for the scheduler.
func (l *LoadPolicy) Core() scheduler.LoadPolicy {
	return scheduler.LoadPolicy(*l)
}

func (l *LoadPolicy) check(c *checker) {
	between(c, "scheduler.load.remote_factor", l.RemoteFactor, 1, 1000)
}

// Room is the worker's section on how free room is shared among coordinators that ask.
type Room struct {
	Grant Duration `json:"grant"` // how long room is kept for a coordinator that was told of it
	Ask   Duration `json:"ask"`   // how long an ask stands that is not repeated
}

// DefaultRoom returns the defaults of Room.
func DefaultRoom() Room {
	return Room{Grant: Duration(15 * time.Millisecond), Ask: Duration(150 * time.Millisecond)}
}

// Core returns the settings for the core.
func (r *Room) Core() room.Settings {
	return room.Settings{GrantTTL: r.Grant.D(), RequestTTL: r.Ask.D()}
}

func (r *Room) check(c *checker) {
	second := Duration(time.Second)
	c.span("runs.room.grant", r.Grant, Duration(time.Millisecond), second)
	c.span("runs.room.ask", r.Ask, Duration(10*time.Millisecond), 10*second)
}
