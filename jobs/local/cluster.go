// Package local runs coordinators and workers in one process, on a stand-in of
// the store and of each backend server. Tests and `lichenfall dev` use it. It owns
// all that it starts, and ends it with Close.
package local

import (
	"context"
	"fmt"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/lichenfall/lichenfall/config"
	"github.com/lichenfall/lichenfall/jobs/coordinator"
	"github.com/lichenfall/lichenfall/jobs/durable"
	"github.com/lichenfall/lichenfall/jobs/fakebackend"
	"github.com/lichenfall/lichenfall/jobs/fakestore"
	"github.com/lichenfall/lichenfall/jobs/routing"
	"github.com/lichenfall/lichenfall/jobs/scheduler"
	"github.com/lichenfall/lichenfall/jobs/worker"
	"github.com/lichenfall/lichenfall/lib/logging"
	"github.com/lichenfall/lichenfall/lib/ports"
	"github.com/lichenfall/lichenfall/lib/web"
	"github.com/lichenfall/lichenfall/metrics"
)

// Options says what a Cluster runs.
type Options struct {
	Coordinators int
	Workers      int
	DataCentres  []string      // of the workers, by turns; the default if empty
	HTTP         string        // address of the first coordinator; empty means any port
	TaskTime     time.Duration // how long each task takes
	Subset       config.Subset // workers of each coordinator; the defaults if zero
	Log          *logging.Log
}

// Queue is the queue of a Cluster, and its service.
const (
	Queue   = "default"
	service = "stand-in"
)

// Cluster is a running system of coordinators and workers on stand-ins.
type Cluster struct {
	Store        *fakestore.Store
	Backends     []*fakebackend.Backend
	Coordinators []*coordinator.Coordinator
	Workers      []*worker.Worker
	URLs         []string // of the coordinators' own interface

	opts    Options
	servers []*web.Server
}

// jobPartitions is the number of partitions, as on the users' platform.
const jobPartitions = 8

// Start starts a Cluster.
func Start(o Options) (*Cluster, error) {
	c := &Cluster{Store: fakestore.New(jobPartitions), opts: o}
	c.Store.Configure(&routing.Configuration{Version: 1, Rules: []routing.Rule{{Host: "localhost", Prefix: "/", Queue: durable.Queue{
		Name: Queue, Service: service, MaxAttempts: 3, Stretch: 2, TargetMS: 100,
	}}}})
	for i := range o.Workers {
		if err := c.addWorker(i); err != nil {
			c.Close()
			return nil, err
		}
	}
	for i := range o.Coordinators {
		if err := c.addCoordinator(i); err != nil {
			c.Close()
			return nil, err
		}
	}
	c.awaitRegistered()
	return c, nil
}

// registeredWithin bounds the wait for the processes of a Cluster to register. Some times what
// it takes, 2 s.
const registeredWithin = 10 * time.Second

// awaitRegistered waits until the processes can find each other: workers that nobody tells
// of themselves register after a while.
func (c *Cluster) awaitRegistered() {
	end := time.Now().Add(registeredWithin)
	for c.Store.Registered() < c.opts.Workers+c.opts.Coordinators && time.Now().Before(end) {
		time.Sleep(10 * time.Millisecond)
	}
}

func (c *Cluster) addWorker(i int) error {
	b := fakebackend.New(service, durable.Resources{CPU: 8000, Memory: 8192}, c.opts.TaskTime)
	c.Backends = append(c.Backends, b)
	w, err := c.startWorker(i)
	c.Workers = append(c.Workers, w)
	return err
}

func (c *Cluster) startWorker(i int) (*worker.Worker, error) {
	cfg := config.DefaultWorker()
	cfg.Box.Name = fmt.Sprintf("worker-%d", i)
	if n := len(c.opts.DataCentres); n > 0 {
		cfg.Box.DataCentre = c.opts.DataCentres[i%n]
	}
	cfg.Peers.Listen = ports.Any
	w, err := worker.Start(cfg, c.Backends[i], c.Store, metrics.NewJobs(tally.NoopScope, nil, scheduler.Classes), c.opts.Log)
	if err != nil {
		return nil, err
	}
	w.Reported(c.Backends[i].Report())
	return w, nil
}

// RestartWorker ends a worker and starts another beside the same backend
// server.
func (c *Cluster) RestartWorker(i int) error {
	c.Workers[i].Close()
	w, err := c.startWorker(i)
	if err == nil {
		c.Workers[i] = w
	}
	return err
}

func (c *Cluster) addCoordinator(i int) error {
	cfg := config.DefaultCoordinator()
	cfg.Box.Name = fmt.Sprintf("coordinator-%d", i)
	cfg.Peers.Listen = ports.Any
	if c.opts.Subset != (config.Subset{}) {
		cfg.Subset = c.opts.Subset
	}
	k, err := coordinator.Start(cfg, c.Store, metrics.NewJobs(tally.NoopScope, nil, scheduler.Classes), c.opts.Log)
	if err != nil {
		return err
	}
	c.Coordinators = append(c.Coordinators, k)
	listen := ports.Any
	if i == 0 && c.opts.HTTP != "" {
		listen = c.opts.HTTP
	}
	s, err := web.Listen(listen, k.Handler(), web.DefaultLimits())
	if err != nil {
		return err
	}
	c.servers = append(c.servers, s)
	c.URLs = append(c.URLs, "http://"+s.Addr())
	return nil
}

// StopCoordinator ends a coordinator: in order, or at once.
func (c *Cluster) StopCoordinator(i int, planned bool) {
	if planned {
		c.Coordinators[i].Drain()
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		_ = c.servers[i].Drain(ctx)
	}
	c.servers[i].Close()
	c.Coordinators[i].Close()
	c.Coordinators[i] = nil
}

// Close ends everything.
func (c *Cluster) Close() {
	for _, s := range c.servers {
		s.Close()
	}
	for _, k := range c.Coordinators {
		if k != nil {
			k.Close()
		}
	}
	for _, w := range c.Workers {
		if w != nil {
			w.Close()
		}
	}
}

// AddCoordinator starts one more.
func (c *Cluster) AddCoordinator() error { return c.addCoordinator(len(c.Coordinators)) }
