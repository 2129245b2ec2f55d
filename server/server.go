// Package server runs an entry from its settings. It opens the listeners, connects the entry
// to its peers and the platform, and shuts it down gracefully.
package server

import (
	"context"
	"errors"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"plantainwinch/conf"
	"plantainwinch/entry"
	"plantainwinch/proto"
	"plantainwinch/trans/agent"
	"plantainwinch/trans/exec"
	"plantainwinch/trans/front"
	"plantainwinch/trans/peer"
	"plantainwinch/trans/store"
)

const (
	// headerTimeout bounds how long a client may take to send its request headers.
	headerTimeout = 10 * time.Second
	// closeTimeout bounds how long shutdown waits for open connections after the entry has
	// drained, and cancelTimeout how long the handlers of requests that are still in progress
	// then may take to respond.
	closeTimeout  = 2 * time.Second
	cancelTimeout = 500 * time.Millisecond
)

// Server is one entry of a cell with its listeners. Set the exported fields, then call
// Prepare and Run.
type Server struct {
	Settings conf.Settings
	Log      *zap.Logger
	Metrics  metrics.Registry
	// Listeners are already open listeners to use, by the key of their address in the
	// section [Listen]. Prepare opens the others.
	Listeners map[string]net.Listener

	Entry *entry.Entry
	Mesh  *peer.Mesh

	store     *store.Client
	agent     *agent.Client
	listeners map[string]net.Listener
	drained   []*drainListener // drained holds the listeners for callers and operators.
}

// Prepare opens the listeners and builds the entry. It opens the listeners first, to
// report an address that is in use before anything else has started.
func (s *Server) Prepare() error {
	if s.Metrics == nil {
		s.Metrics = metrics.NewRegistry()
	}
	if s.Log == nil {
		s.Log = zap.NewNop()
	}
	if err := s.listen(); err != nil {
		return err
	}
	s.store = &store.Client{Address: s.Settings.Platform.Address, HTTP: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
	s.agent = &agent.Client{HTTP: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, MaxIdleConns: 0}}}
	s.Mesh = &peer.Mesh{
		Self: proto.Hello{
			Version: proto.Version, Cell: s.Settings.Cell.Name,
			Entry: s.Settings.Entry.Name, Domain: s.Settings.Entry.Domain,
		},
		Token: s.Settings.Peers.Token, Log: s.Log, Metrics: s.Metrics,
		Addresses: func() []string { return s.Settings.Peers.Addresses },
	}
	s.Entry = &entry.Entry{
		Settings: s.Settings, Store: s.store, Lister: s.store, Worker: s.agent,
		Executor: &exec.Client{HTTP: exec.NewTransport(s.Settings.Limits.Connections)},
		Peers:    s.Mesh, Log: s.Log, Metrics: s.Metrics,
	}
	s.Entry.Prepare()
	s.Mesh.Handler = s.Entry.Handle
	s.Mesh.FirstMessage = s.Entry.First
	s.Mesh.OnLinkChange = s.logPeerConnection
	s.registerGauges()
	return nil
}

func (s *Server) logPeerConnection(hello proto.Hello, up bool) {
	s.Log.Info("peer connection changed", zap.String("Peer", hello.Entry), zap.String("Domain", hello.Domain), zap.Bool("Up", up))
}

// registerGauges registers gauges of the calls and bytes that the control plane costs.
func (s *Server) registerGauges() {
	gauge := func(name string, f func() (int64, int64), second bool) {
		_ = s.Metrics.Register(name, metrics.NewFunctionalGauge(func() int64 {
			a, b := f()
			if second {
				return b
			}
			return a
		}))
	}
	gauge("Control.Store.Calls", s.store.Cost, false)
	gauge("Control.Store.Bytes", s.store.Cost, true)
	gauge("Control.Peer.Frames", s.Mesh.Cost, false)
	gauge("Control.Peer.Bytes", s.Mesh.Cost, true)
	gauge("Control.Worker.Calls", s.agent.Cost, false)
	gauge("Control.Worker.Bytes", s.agent.Cost, true)
}

func (s *Server) listen() error {
	s.listeners = make(map[string]net.Listener)
	l := s.Settings.Listen
	for _, x := range []struct{ key, address string }{{"Callers", l.Callers}, {"Operators", l.Operators}, {"Peers", l.Peers}} {
		if ln := s.Listeners[x.key]; ln != nil {
			s.listeners[x.key] = ln
			continue
		}
		ln, err := net.Listen("tcp", x.address)
		if err != nil {
			s.closeListeners()
			return listenError(x.key, x.address, err)
		}
		s.listeners[x.key] = ln
	}
	return nil
}

func listenError(key, address string, err error) error {
	if errors.Is(err, syscall.EADDRINUSE) {
		return merry.Errorf("[Listen] %s = %s: the address is in use: choose a free port, or stop the process that has it", key, address)
	}
	return merry.Errorf("[Listen] %s = %s: %v", key, address, err)
}

func (s *Server) closeListeners() {
	for _, ln := range s.listeners {
		_ = ln.Close()
	}
}

// Run serves until ctx ends, and then shuts down gracefully: it lets the requests in
// progress finish, for at most closeTimeout once the entry has drained.
func (s *Server) Run(ctx context.Context) {
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	servers := s.newServers()
	var group conc.WaitGroup
	for name, server := range servers {
		group.Go(func() { _ = server.Serve(s.listeners[name]) })
	}
	group.Go(func() { s.Mesh.Run(background) })
	group.Go(func() { s.Entry.Run(background) })
	<-ctx.Done()
	s.Entry.Stop(context.Background())
	s.shutdown(servers)
	cancel()
	group.Wait()
}

func (s *Server) newServers() map[string]*http.Server {
	mux := http.NewServeMux()
	mux.Handle(peer.Path, s.Mesh)
	handlers := map[string]http.Handler{
		"Callers":   front.Callers(s.Entry, s.Metrics),
		"Operators": front.Operators(s.Entry, s.Metrics),
		"Peers":     mux,
	}
	out := make(map[string]*http.Server)
	for name, h := range handlers {
		out[name] = &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, ErrorLog: zap.NewStdLog(s.Log.Named(name))}
	}
	s.drained = replaceListeners(s.listeners, out, "Callers", "Operators")
	return out
}

// shutdown closes the servers once the requests of callers and operators are done or
// closeTimeout is over.
func (s *Server) shutdown(servers map[string]*http.Server) {
	if !drain(s.drained, closeTimeout, closeTimeout+cancelTimeout) {
		s.Log.Error("closing connections with unfinished requests")
	}
	for _, server := range servers {
		_ = server.Close()
	}
}

// CallersAddress returns the address at which callers reach the entry.
func (s *Server) CallersAddress() string { return s.listeners["Callers"].Addr().String() }

// OperatorsAddress returns the address at which operators reach the entry.
func (s *Server) OperatorsAddress() string { return s.listeners["Operators"].Addr().String() }

// PeersAddress returns the address at which peers reach the entry.
func (s *Server) PeersAddress() string { return s.listeners["Peers"].Addr().String() }
