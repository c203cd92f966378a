package pimdemo

import (
	"context"
	"fmt"
	"net"
	"path/filepath"
	"time"

	"github.com/phuslu/log"

	"github.com/pimentoswitch/pimentoswitch/internal/base/pimroutine"
	"github.com/pimentoswitch/pimentoswitch/internal/entry/pimdaemon"
	"github.com/pimentoswitch/pimentoswitch/internal/node/pimcore"
	"github.com/pimentoswitch/pimentoswitch/internal/place/pimplace"
	"github.com/pimentoswitch/pimentoswitch/internal/standin/pimendpoint"
	"github.com/pimentoswitch/pimentoswitch/internal/standin/pimplatform"
	"github.com/pimentoswitch/pimentoswitch/internal/standin/pimwitness"
	"github.com/pimentoswitch/pimentoswitch/internal/standin/pimworker"
	"github.com/pimentoswitch/pimentoswitch/internal/state/pimmanifest"
)

type (
	// ClusterConfig describes a cluster in one process. EndpointsPerService is the number of endpoints of each
	// service in each failure domain; Slots and MeanServiceTime apply to each endpoint.
	ClusterConfig struct {
		Domains             []string
		DaemonsPerDomain    int
		EndpointsPerService int
		WorkersPerDomain    int
		Services            []string
		Slots               int
		MeanServiceTime     time.Duration
		WorkerCapacity      pimmanifest.Resources
		RacksPerDomain      int
		DrainDelay          time.Duration
		StandinSeed         uint64
	}

	// process is one running part of the cluster. cancel asks it to stop, done delivers its error once it has
	// ended, and daemon is nil for a stand-in.
	process struct {
		name   string
		cancel context.CancelFunc
		done   <-chan error
		daemon *pimdaemon.Daemon
	}

	// Cluster runs entry daemons with real sockets and data folders, and stand-ins for the load balancer, the
	// endpoints and the workers, in one process.
	Cluster struct {
		config         ClusterConfig
		folder         string
		logger         *log.Logger
		witness        *pimwitness.Witness
		balancer       *pimplatform.Balancer
		initialMembers []pimcore.InitialMember
		daemons        map[string]*process
		standins       []*process
		addresses      []string
	}
)

const (
	batchGracePeriod   = 5 * time.Minute
	replaceAfter       = time.Minute
	journalRetention   = 24 * time.Hour
	drainTimeout       = 30 * time.Second
	maxConcurrentSends = 256
)

// NewCluster chooses the addresses of the daemons; Start starts the cluster. The daemons keep their data in
// subfolders of folder, named after them.
func NewCluster(config ClusterConfig, folder string, logger *log.Logger) (*Cluster, error) {
	c := &Cluster{
		config:  config,
		folder:  folder,
		logger:  logger,
		witness: pimwitness.NewWitness(),
		daemons: map[string]*process{},
	}
	for _, domain := range config.Domains {
		for i := range config.DaemonsPerDomain {
			addresses, err := reserveAddresses(2)
			if err != nil {
				return nil, err
			}
			name := fmt.Sprintf("%s-%d", domain, i+1)
			c.initialMembers = append(c.initialMembers, pimcore.InitialMember{
				Name: name, Domain: domain, PeerAddress: addresses[0], HTTPAddress: addresses[1],
			})
			c.addresses = append(c.addresses, addresses[1])
		}
	}
	c.balancer = pimplatform.NewBalancer(c.addresses)
	return c, nil
}

// reserveAddresses returns loopback addresses with free ports. It releases the ports again, so another process
// may take one before the daemon listens on it.
func reserveAddresses(count int) ([]string, error) {
	var addresses []string
	for range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer listener.Close()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}

// Start starts the daemons, then the stand-ins. It doesn't wait until they are ready.
func (c *Cluster) Start() error {
	for _, member := range c.initialMembers {
		if err := c.startDaemon(member); err != nil {
			return err
		}
	}
	c.startStandin("balancer", c.balancer.Run)
	for _, domain := range c.config.Domains {
		if err := c.startEndpoints(domain); err != nil {
			return err
		}
		c.startWorkers(domain)
	}
	return nil
}

func (c *Cluster) startDaemon(member pimcore.InitialMember) error {
	daemon, err := pimdaemon.NewDaemon(pimdaemon.Settings{
		Name:               member.Name,
		Domain:             member.Domain,
		DataDir:            filepath.Join(c.folder, member.Name),
		ListenPeer:         member.PeerAddress,
		ListenHTTP:         member.HTTPAddress,
		InitialMembers:     c.initialMembers,
		BatchGracePeriod:   batchGracePeriod,
		ReplaceAfter:       replaceAfter,
		JournalRetention:   journalRetention,
		DrainDelay:         c.config.DrainDelay,
		DrainTimeout:       drainTimeout,
		Policy:             pimplace.PolicyInterference,
		MaxConcurrentSends: maxConcurrentSends,
		LogSampleInterval:  1,
	}, c.logger)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	c.daemons[member.Name] = &process{
		name: member.Name, cancel: cancel, daemon: daemon, done: pimroutine.Start(ctx, daemon.Run),
	}
	return nil
}

func (c *Cluster) startStandin(name string, f func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	c.standins = append(c.standins, &process{name: name, cancel: cancel, done: pimroutine.Start(ctx, f)})
}

func (c *Cluster) startEndpoints(domain string) error {
	for _, service := range c.config.Services {
		for i := range c.config.EndpointsPerService {
			endpoint, err := pimendpoint.NewEndpoint(pimendpoint.Settings{
				ID:              fmt.Sprintf("%s-%s-%d", service, domain, i+1),
				Service:         service,
				Domain:          domain,
				Listen:          "127.0.0.1:0",
				Slots:           c.config.Slots,
				MeanServiceTime: c.config.MeanServiceTime,
				Seed:            c.config.StandinSeed + uint64(i),
			}, c.balancer, c.witness)
			if err != nil {
				return err
			}
			c.startStandin("endpoint", endpoint.Run)
		}
	}
	return nil
}

func (c *Cluster) startWorkers(domain string) {
	for i := range c.config.WorkersPerDomain {
		worker := pimworker.NewWorker(pimworker.Settings{
			ID:       fmt.Sprintf("worker-%s-%d", domain, i+1),
			Domain:   domain,
			Rack:     fmt.Sprintf("rack-%s-%d", domain, i%max(c.config.RacksPerDomain, 1)+1),
			Capacity: c.config.WorkerCapacity,
		}, c.balancer, c.witness)
		c.startStandin("worker", worker.Run)
	}
}

// StopDaemon stops one daemon gracefully, waits for its end and returns its error.
func (c *Cluster) StopDaemon(name string) error {
	p := c.daemons[name]
	delete(c.daemons, name)
	p.cancel()
	return <-p.done
}

// KillDaemon ends one daemon without a graceful stop, to simulate a crash, and waits for its end.
func (c *Cluster) KillDaemon(name string) {
	p := c.daemons[name]
	delete(c.daemons, name)
	p.daemon.Kill()
	<-p.done
	p.cancel()
}

// RestartDaemon starts a stopped or killed daemon again with its data folder. It does nothing if no daemon has
// the name.
func (c *Cluster) RestartDaemon(name string) error {
	for _, member := range c.initialMembers {
		if member.Name == name {
			return c.startDaemon(member)
		}
	}
	return nil
}

// Stop stops the stand-ins gracefully, then kills all daemons.
func (c *Cluster) Stop() {
	for _, p := range c.standins {
		p.cancel()
	}
	for _, p := range c.standins {
		<-p.done
	}
	for _, p := range c.daemons {
		p.daemon.Kill()
	}
	for _, p := range c.daemons {
		<-p.done
		p.cancel()
	}
}

// Balancer returns the stand-in for the platform's load balancer.
func (c *Cluster) Balancer() *pimplatform.Balancer { return c.balancer }

// Witness returns the record of what the stand-ins executed.
func (c *Cluster) Witness() *pimwitness.Witness { return c.witness }
