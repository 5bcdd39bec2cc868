package config

import (
	"time"
)

// Serving is the coordinator's section on its HTTP server for callers.
type Serving struct {
	Listen   string `json:"listen"` // address for callers
	Ready    string `json:"ready"`  // address for the load balancer's readiness check
	MaxConns int    `json:"max_conns"`
}

// DefaultServing returns the defaults of Serving.
func DefaultServing() Serving {
	return Serving{Listen: "127.0.0.1:0", Ready: "127.0.0.1:0", MaxConns: 2000}
}

// Process is the section on a process's memory and on its stop.
type Process struct {
	MemoryMiB int64    `json:"memory_mib"` // limit on the memory of the process; 0 sets none
	Grace     Duration `json:"grace"`      // longest time from a stop signal to the end of the process
}

// DefaultProcess returns the defaults of Process.
func DefaultProcess() Process { return Process{Grace: Duration(5 * time.Second)} }

// StoreAddress is the section on the log service that stores jobs.
type StoreAddress struct {
	Address string `json:"address"`
}

// WorkerBackend is the worker's section on its backend server.
type WorkerBackend struct {
	Address string `json:"address"` // where the backend server accepts calls
	Listen  string `json:"listen"`  // where the worker receives the backend server's heartbeats
}

func (s *Serving) check(c *checker) {
	c.address("serving.listen", s.Listen)
	c.address("serving.ready", s.Ready)
	between(c, "serving.max_conns", s.MaxConns, 1, 1000000)
}

func (p *Process) check(c *checker) {
	between(c, "process.memory_mib", p.MemoryMiB, 0, 1<<20)
	c.durationBetween("process.grace", p.Grace, 0, Duration(time.Hour))
}

func (s *StoreAddress) check(c *checker) { c.address("store.address", s.Address) }

func (b *WorkerBackend) check(c *checker) {
	c.address("backend.address", b.Address)
	c.address("backend.listen", b.Listen)
}
