// Package local runs coordinators and workers in one process, with stand-ins for the
// store and the backend servers. Tests and `lichenfall dev` use it. It owns all that it
// starts, and ends it with Close.
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

// Options are the numbers and settings of the processes of a Cluster.
type Options struct {
	Coordinators int
	Workers      int
	DataCentres  []string      // of the workers, assigned round-robin; the default if empty
	HTTP         string        // address of the first coordinator's HTTP server; empty means any port
	TaskTime     time.Duration // how long each task takes
	Subset       config.Subset // how many workers each coordinator uses; the defaults if zero
	Log          *logging.Log
}

const (
	Queue   = "default"  // the only queue of a Cluster
	service = "stand-in" // of all its backend servers
)

// Cluster is a running system of coordinators and workers on stand-ins. Its methods may not be
// called concurrently.
type Cluster struct {
	Store        *fakestore.Store
	Backends     []*fakebackend.Backend
	Coordinators []*coordinator.Coordinator // nil where StopCoordinator has ended it
	StoreClients []*fakestore.Client        // of the coordinators
	Workers      []*worker.Worker
	URLs         []string // base URLs of the coordinators' HTTP servers

	opts    Options
	servers []*web.Server
}

// jobPartitions is the number of partitions of the store, as on the users' platform.
const jobPartitions = 8

// Start starts a Cluster and returns once its processes have registered, or after registerTimeout.
// On an error it ends what it has started.
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
	c.waitForRegistrations()
	return c, nil
}

// registerTimeout bounds the wait for the processes of a Cluster to register; it is several times
// the 2 s that this takes.
const registerTimeout = 10 * time.Second

// waitForRegistrations waits until all processes have registered, so that they can find each
// other. A worker registers after a delay if no coordinator has reported its record to it.
func (c *Cluster) waitForRegistrations() {
	deadline := time.Now().Add(registerTimeout)
	for c.Store.Registered() < c.opts.Workers+c.opts.Coordinators && time.Now().Before(deadline) {
		time.Sleep(10 * time.Millisecond)
	}
}

// addWorker starts a backend server and its worker.
func (c *Cluster) addWorker(i int) error {
	b := fakebackend.New(service, durable.Resources{CPU: 8000, Memory: 8192}, c.opts.TaskTime)
	c.Backends = append(c.Backends, b)
	w, err := c.startWorker(i)
	c.Workers = append(c.Workers, w)
	return err
}

// startWorker starts a worker for the backend server of that index.
func (c *Cluster) startWorker(i int) (*worker.Worker, error) {
	cfg := config.DefaultWorker()
	cfg.Box.Name = fmt.Sprintf("worker-%d", i)
	if n := len(c.opts.DataCentres); n > 0 {
		cfg.Box.DataCentre = c.opts.DataCentres[i%n]
	}
	cfg.Peers.Listen = ports.Any
	w, err := worker.Start(cfg, c.Backends[i], c.Store.Client(), metrics.NewJobs(tally.NoopScope, nil, scheduler.Classes), c.opts.Log)
	if err != nil {
		return nil, err
	}
	w.Reported(c.Backends[i].Report())
	return w, nil
}

// RestartWorker ends a worker and starts another for the same backend server, whose runs
// continue.
func (c *Cluster) RestartWorker(i int) error {
	c.Workers[i].Close()
	w, err := c.startWorker(i)
	if err == nil {
		c.Workers[i] = w
	}
	return err
}

// addCoordinator starts a coordinator and its HTTP server.
func (c *Cluster) addCoordinator(i int) error {
	cfg := config.DefaultCoordinator()
	cfg.Box.Name = fmt.Sprintf("coordinator-%d", i)
	cfg.Peers.Listen = ports.Any
	if c.opts.Subset != (config.Subset{}) {
		cfg.Subset = c.opts.Subset
	}
	client := c.Store.Client()
	k, err := coordinator.Start(cfg, client, metrics.NewJobs(tally.NoopScope, nil, scheduler.Classes), c.opts.Log)
	if err != nil {
		return err
	}
	c.Coordinators = append(c.Coordinators, k)
	c.StoreClients = append(c.StoreClients, client)
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

// StopCoordinator ends a coordinator. A planned stop first drains it and waits up to a minute for
// the HTTP calls in flight; otherwise it ends at once.
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

// Close ends all processes of the Cluster at once.
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

// AddWorker starts one more backend server and its worker, at the next index.
func (c *Cluster) AddWorker() error { return c.addWorker(len(c.Workers)) }

// AddCoordinator starts one more coordinator, at the next index.
func (c *Cluster) AddCoordinator() error { return c.addCoordinator(len(c.Coordinators)) }
