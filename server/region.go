package server

import (
	"cmp"
	"context"
	"crypto/rand"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"plantainwinch/conf"
	"plantainwinch/platform"
	"plantainwinch/proto"
	"plantainwinch/region"
	"plantainwinch/trans/front"
	"plantainwinch/trans/peer"
)

const (
	// memoryShare is the share of the entry's memory limit that the Go runtime may use. The
	// rest is for data that was received and not yet read, which counts against the VM's
	// memory too.
	memoryShare = 0.7
	// idleTimeout is how long an idle connection of a caller stays open. Callers that wait
	// for a job send the next request within seconds.
	idleTimeout = 30 * time.Second
	// unreadyDelay is how long the platform takes to notice that an entry is not ready: it
	// checks every second and acts on the second failed check.
	unreadyDelay = 2300 * time.Millisecond
	// closeReserve is the part of the grace period, before SIGKILL, in which requests that are still in
	// progress are cancelled and responded to. exitReserve is the part of it for the end of the process.
	closeReserve = time.Second
	exitReserve  = 300 * time.Millisecond
)

// Region is one entry of a region with its listeners. Set the exported fields,
// then call Prepare and Run.
type Region struct {
	Settings conf.Region
	Log      *zap.Logger
	Metrics  metrics.Registry

	Node *region.Node
	Mesh *peer.Mesh

	mu           sync.Mutex // mu guards Settings once Run has begun.
	table        *platform.Table
	workerClient *platform.WorkerClient
	listeners    map[string]net.Listener
	drained      []*drainListener // drained holds the listeners for callers.
}

// Prepare opens the listeners and builds the entry.
func (s *Region) Prepare() error {
	tuneRegionMemory(s.Settings.Limits.Memory)
	if err := s.listen(); err != nil {
		return err
	}
	e := s.Settings.Entry
	boot := e.Name + "/" + rand.Text()[:6]
	s.Mesh = &peer.Mesh{
		Self:  proto.Hello{Version: proto.Version, Cell: "region", Entry: boot, Domain: e.Domain},
		Token: s.Settings.Peers.Token, Log: s.Log, Metrics: s.Metrics,
	}
	s.Mesh.Self.Address = cmp.Or(s.Settings.Listen.Announce, s.Settings.Listen.Peers)
	s.table = platform.NewTable(s.Settings.Platform.Address)
	s.workerClient = &platform.WorkerClient{}
	s.Node = &region.Node{
		Name: boot, Host: e.Name, Domain: e.Domain, Address: s.Mesh.Self.Address,
		Share:  int(1000 * s.Settings.Limits.Processors),
		Timing: region.Timing{Lease: s.Settings.Timing.Lease, Retention: s.Settings.Timing.Keep, Config: s.Settings.Timing.Config},
		Policy: s.Settings.Planner.Policy(),
		Table:  s.table, Runner: s.workerClient, Advisor: platform.NewAdvisor(s.Settings.Platform.Advice),
		Codec: platform.Codec{}, Peers: s.Mesh, Log: s.Log, Metrics: s.Metrics,
	}
	s.Node.Prepare()
	s.table.OnResponse = s.Node.NoteStoreResponse
	s.Mesh.Handler = s.Node.Handle
	s.Mesh.FirstMessage = s.Node.First
	s.Mesh.Addresses = s.Node.PeerAddresses
	s.Node.OnContactsChange = s.Mesh.DialSoon
	s.Mesh.OnLinkChange = func(hello proto.Hello, up bool) {
		s.Log.Info("peer connection changed", zap.String("peer", hello.Entry), zap.String("domain", hello.Domain), zap.Bool("up", up))
		s.Node.LinkChanged()
	}
	s.registerGauges()
	return nil
}

// Reload applies changed settings. Of the times only Grace takes effect at once; changes of the others, of addresses
// and of the planner's policy take effect at the next start.
func (s *Region) Reload(settings conf.Region) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.Settings
	if settings.Timing == old.Timing && settings.Limits == old.Limits && settings.Listen == old.Listen && settings.Platform == old.Platform &&
		settings.Planner.Policy() == old.Planner.Policy() {
		return
	}
	s.Settings = settings
	timing := settings.Timing
	timing.Grace = old.Timing.Grace
	s.Log.Info("settings reloaded", zap.Any("timing", settings.Timing), zap.Any("limits", settings.Limits),
		zap.Bool("restart", timing != old.Timing || settings.Listen != old.Listen || settings.Platform != old.Platform || settings.Planner.Policy() != old.Planner.Policy()))
	tuneRegionMemory(settings.Limits.Memory)
}

func (s *Region) gracePeriod() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Settings.Timing.Grace
}

func (s *Region) registerGauges() {
	for name, f := range map[string]func() int64{
		"Control.Store.Calls":  s.table.Calls,
		"Control.Worker.Calls": s.workerClient.Calls,
		"Control.Peer.Bytes":   func() int64 { _, bytes := s.Mesh.Cost(); return bytes },
	} {
		_ = s.Metrics.Register(name, metrics.NewFunctionalGauge(f))
	}
}

func (s *Region) listen() error {
	s.listeners = make(map[string]net.Listener)
	l := s.Settings.Listen
	for _, x := range []struct{ key, address string }{
		{"Callers", l.Callers}, {"Ready", l.Ready}, {"Peers", l.Peers}, {"Metrics", l.Metrics}, {"Jobs", l.Jobs},
	} {
		if x.address == "" {
			continue
		}
		ln, err := net.Listen("tcp", x.address)
		if err != nil {
			for _, open := range s.listeners {
				_ = open.Close()
			}
			return listenError(x.key, x.address, err)
		}
		s.listeners[x.key] = ln
	}
	return nil
}

// Run serves until ctx ends, and then shuts down gracefully. It hands the office and the
// workers over to other entries at once, serves callers until the platform no longer routes
// them here, and lets the requests in progress finish within the grace period. The office is
// the planner's leadership lease in the store.
func (s *Region) Run(ctx context.Context) {
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	servers := s.newServers()
	var group conc.WaitGroup
	for name, server := range servers {
		group.Go(func() { _ = server.Serve(s.listeners[name]) })
	}
	group.Go(func() { s.Mesh.Run(background) })
	group.Go(func() { s.Node.Run(background) })
	s.Log.Info("entry serving", zap.String("name", s.Node.Name), zap.String("domain", s.Node.Domain), zap.String("callers", s.Settings.Listen.Callers))
	<-ctx.Done()
	s.stop(servers)
	cancel()
	group.Wait()
	s.Log.Info("entry stopped", zap.String("name", s.Node.Name))
}

// stop hands over the entry's work, waits until the platform has noticed that the entry is
// not ready, and closes the servers once their requests are done or the grace period is over.
func (s *Region) stop(servers map[string]*http.Server) {
	s.Log.Info("entry stopping", zap.String("name", s.Node.Name))
	started := time.Now()
	s.Node.Stop(context.Background())
	time.Sleep(unreadyDelay)
	remaining := s.gracePeriod() - time.Since(started)
	patience := max(remaining-closeReserve, closeReserve/2)
	if !drain(s.drained, patience, max(remaining-exitReserve, patience+exitReserve)) {
		s.Log.Error("closing connections with unfinished requests: the grace period is over")
	}
	for _, server := range servers {
		_ = server.Close()
	}
}

func (s *Region) newServers() map[string]*http.Server {
	callers := &platform.Front{Region: s.Node, Log: s.Log, Metrics: s.Metrics}
	peers := http.NewServeMux()
	peers.Handle(peer.Path, s.Mesh)
	handlers := map[string]http.Handler{
		"Callers": callers, "Ready": callers.Ready(), "Peers": peers, "Metrics": metricsHandler(s.Metrics),
		"Jobs": front.Phases(s.Node),
	}
	out := make(map[string]*http.Server)
	for name := range s.listeners {
		out[name] = &http.Server{
			Handler: handlers[name], ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
			ErrorLog: zap.NewStdLog(s.Log.Named(name)),
		}
	}
	s.drained = replaceListeners(s.listeners, out, "Callers", "Jobs")
	return out
}

// metricsHandler returns a handler that writes all metrics as text.
func metricsHandler(reg metrics.Registry) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain")
		metrics.WriteOnce(reg, w)
	})
}
