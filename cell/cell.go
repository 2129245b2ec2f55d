// Package cell runs a whole cell in one process on the loopback interface: the entries, and
// stand-ins for the platform, the executors and the workers.
package cell

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"plantainwinch/conf"
	"plantainwinch/server"
	"plantainwinch/stand"
	"plantainwinch/state/config"
	"plantainwinch/winch"
)

// Size is the size of a cell.
type Size struct {
	Domains          int
	EntriesPerDomain int
	Executors        int
	Slots            int
	Connections      int
	// ExecutorDomains is the number of failure domains that have executors. Zero means all.
	ExecutorDomains int
	Workers         int
	RackSize        int
	WorkerSize      winch.Resources
	// Accelerators is the number of workers that have one accelerator.
	Accelerators int
}

// ProductionSize returns the size of the cells that are in production use.
func ProductionSize() Size {
	return Size{
		Domains: 3, EntriesPerDomain: 2, Executors: 50, Slots: 8, Connections: 64, Workers: 50, RackSize: 8,
		WorkerSize: winch.Resources{Processors: 16, Memory: 32 << 30}, Accelerators: 8,
	}
}

// SmallSize returns the size of a cell for tests of the command line.
func SmallSize() Size {
	return Size{
		Domains: 1, EntriesPerDomain: 2, Executors: 2, Slots: 8, Connections: 64, Workers: 3, RackSize: 2,
		WorkerSize: winch.Resources{Processors: 8, Memory: 8 << 30},
	}
}

func (s Size) executorDomains() int {
	if s.ExecutorDomains > 0 {
		return s.ExecutorDomains
	}
	return s.Domains
}

// Service is the name of the service that the executors provide.
const Service = "render"

// Cell is a running cell. Set the exported fields, then call Start.
type Cell struct {
	Size Size
	Log  *zap.Logger
	// Tune, if set, modifies the settings of each entry before the entry starts.
	Tune func(*conf.Settings)

	OperatorKey     string
	Platform        *stand.Platform
	PlatformAddress string
	Executors       []*stand.Executor
	Workers         []*stand.Worker
	Servers         []*server.Server

	group         conc.WaitGroup
	cancels       []context.CancelFunc
	awaitStopped  []func()
	httpServers   []*http.Server
	entrySettings []conf.Settings
	// listeners are the open listeners of the entries that have not started yet.
	listeners []map[string]net.Listener
}

// readyTimeout bounds how long the entries may take to connect to each other and to elect
// the planners.
const readyTimeout = 15 * time.Second

// Start starts the stand-ins and the entries. It returns once all entries are connected to
// each other and every failure domain has a planner.
func (c *Cell) Start() error {
	if c.Log == nil {
		c.Log = zap.NewNop()
	}
	c.Platform = &stand.Platform{}
	address, err := c.serve(c.Platform.Handler())
	if err != nil {
		return err
	}
	c.PlatformAddress = address
	if err := c.startBackends(); err != nil {
		return err
	}
	return c.startEntries()
}

// serve serves a handler on a free port of the loopback interface.
func (c *Cell) serve(h http.Handler) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", merry.Wrap(err)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute, ErrorLog: zap.NewStdLog(zap.NewNop())}
	c.httpServers = append(c.httpServers, s)
	c.group.Go(func() { _ = s.Serve(ln) })
	return ln.Addr().String(), nil
}

// DomainName returns the name of the failure domain with index i.
func DomainName(i int) string { return fmt.Sprintf("d%d", i+1) }

func (c *Cell) startBackends() error {
	for i := range c.Size.Executors {
		e := &stand.Executor{Name: fmt.Sprintf("executor-%02d", i+1), Slots: c.Size.Slots}
		address, err := c.serve(e.Handler())
		if err != nil {
			return err
		}
		c.Executors = append(c.Executors, e)
		c.Platform.SetVM(winch.VM{
			ID: e.Name, Address: address, Role: winch.RoleExecutor, Domain: DomainName(i % c.Size.executorDomains()),
			Service: Service, Slots: c.Size.Slots, Connections: c.Size.Connections,
		})
	}
	for i := range c.Size.Workers {
		domain := i % c.Size.Domains
		vm := winch.VM{
			ID: fmt.Sprintf("worker-%02d", i+1), Role: winch.RoleWorker, Domain: DomainName(domain),
			Rack: fmt.Sprintf("%s-rack-%d", DomainName(domain), i/c.Size.Domains/c.Size.RackSize+1), Size: c.Size.WorkerSize,
		}
		if i < c.Size.Accelerators {
			vm.Size.Accelerators = 1
		}
		w := &stand.Worker{VM: vm, Fence: true}
		address, err := c.serve(w.Handler())
		if err != nil {
			return err
		}
		w.VM.Address, vm.Address = address, address
		c.Workers = append(c.Workers, w)
		c.Platform.SetVM(vm)
	}
	return nil
}

// buildSettings opens listeners on free ports for all entries and returns their settings.
func (c *Cell) buildSettings() ([]conf.Settings, error) {
	secret, key := config.NewKey()
	c.OperatorKey = secret
	var out []conf.Settings
	var peers []string
	for d := range c.Size.Domains {
		for n := range c.Size.EntriesPerDomain {
			s := conf.Default()
			s.Entry = conf.Entry{Name: fmt.Sprintf("%s-%d", DomainName(d), n+1), Domain: DomainName(d)}
			s.Cell.Name, s.Cell.OperatorKeyHash = "dev", key.Hash
			open, err := openListeners()
			if err != nil {
				return nil, err
			}
			c.listeners = append(c.listeners, open)
			s.Listen = conf.Listen{
				Callers: open["Callers"].Addr().String(), Operators: open["Operators"].Addr().String(), Peers: open["Peers"].Addr().String(),
			}
			s.Platform.Address = c.PlatformAddress
			s.Peers.Token = key.Hash[:32]
			peers = append(peers, s.Listen.Peers)
			out = append(out, s)
		}
	}
	for i := range out {
		out[i].Peers.Addresses = peers
		if c.Tune != nil {
			c.Tune(&out[i])
		}
	}
	return out, nil
}

// openListeners opens the listeners of one entry on free ports.
func openListeners() (map[string]net.Listener, error) {
	out := make(map[string]net.Listener)
	for _, name := range []string{"Callers", "Operators", "Peers"} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, merry.Wrap(err)
		}
		out[name] = ln
	}
	return out, nil
}

func (c *Cell) startEntries() error {
	settings, err := c.buildSettings()
	if err != nil {
		return err
	}
	c.entrySettings = settings
	for i := range settings {
		c.Servers = append(c.Servers, nil)
		c.cancels = append(c.cancels, nil)
		c.awaitStopped = append(c.awaitStopped, nil)
		if err := c.StartEntry(i); err != nil {
			return err
		}
	}
	return c.waitReady()
}

// StartEntry starts the entry with index i, for the first time or after StopEntry.
func (c *Cell) StartEntry(i int) error {
	s := &server.Server{Settings: c.entrySettings[i], Log: c.Log.Named(c.entrySettings[i].Entry.Name), Listeners: c.listeners[i]}
	c.listeners[i] = nil
	if err := s.Prepare(); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	c.Servers[i], c.cancels[i] = s, cancel
	c.awaitStopped[i] = func() { <-done }
	c.group.Go(func() {
		defer close(done)
		s.Run(ctx)
	})
	return nil
}

// StopEntry stops the entry with index i gracefully and returns once it has stopped.
func (c *Cell) StopEntry(i int) {
	c.cancels[i]()
	c.awaitStopped[i]()
}

// waitReady waits until all entries are connected to each other and every failure domain has
// a planner.
func (c *Cell) waitReady() error {
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) {
		if c.ready() {
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return merry.New("cell is not ready in time: entries are not connected to each other, or a failure domain has no planner")
}

func (c *Cell) ready() bool {
	for _, s := range c.Servers {
		st := s.Entry.Status(context.Background())
		if len(st.Entries) < len(c.Servers) || len(st.Domains) < c.Size.Domains {
			return false
		}
		for _, d := range st.Domains {
			if d.Placer == "" || d.Size.Processors == 0 {
				return false
			}
		}
	}
	return true
}

// Stop stops the entries and the stand-ins.
func (c *Cell) Stop() {
	for _, cancel := range c.cancels {
		if cancel != nil {
			cancel()
		}
	}
	for _, wait := range c.awaitStopped {
		if wait != nil {
			wait()
		}
	}
	for _, s := range c.httpServers {
		_ = s.Close()
	}
	c.group.Wait()
}
