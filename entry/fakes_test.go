package entry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sourcegraph/conc"

	"plantainwinch/stand"
	"plantainwinch/winch"
)

// fakePeers implements winch.Peers by calling the handlers of the other entries.
type fakePeers struct{ n *node }

func (p fakePeers) Names() (out []string) {
	p.n.w.mu.Lock()
	defer p.n.w.mu.Unlock()
	for name := range p.n.w.entries {
		if name != p.n.Name() && !p.n.w.partitions[[2]string{p.n.Name(), name}] {
			out = append(out, name)
		}
	}
	return out
}

func (p fakePeers) Notify(to string, kind winch.Kind, body any) error {
	if err := p.n.awaitGate(); err != nil {
		return err
	}
	other, _ := p.n.w.reach(p.n.Name(), to)
	if other == nil {
		return winch.ErrNoPeer
	}
	data, err := cbor.Marshal(body)
	if err != nil {
		return err
	}
	other.Handle(context.Background(), p.n.Name(), kind, func(into any) error { return cbor.Unmarshal(data, into) })
	return nil
}

func (p fakePeers) Request(ctx context.Context, to string, kind winch.Kind, body, reply any) error {
	if err := p.n.awaitGate(); err != nil {
		return err
	}
	other, changed := p.n.w.reach(p.n.Name(), to)
	if other == nil {
		return winch.ErrNoPeer
	}
	data, err := cbor.Marshal(body)
	if err != nil {
		return err
	}
	time.Sleep(hopDelay)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	response := make(chan any, 1)
	var group conc.WaitGroup
	defer group.Wait()
	target := other
	group.Go(func() {
		response <- target.Handle(ctx, p.n.Name(), kind, func(into any) error { return cbor.Unmarshal(data, into) })
	})
	for {
		select {
		case out := <-response:
			time.Sleep(hopDelay)
			data, err := cbor.Marshal(out)
			if err != nil {
				return err
			}
			return cbor.Unmarshal(data, reply)
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
			if other, changed = p.n.w.reach(p.n.Name(), to); other == nil {
				cancel()
				return winch.ErrPeerLost
			}
		}
	}
}

// fakeStore passes calls to the platform unless the entry is paused, killed or disconnected from the store.
type fakeStore struct{ n *node }

// check fails if the entry cannot reach the store.
func (s fakeStore) check() error {
	if s.n.awaitGate() != nil {
		return winch.ErrUnavailable
	}
	s.n.mu.Lock()
	defer s.n.mu.Unlock()
	if s.n.storeDown {
		return winch.ErrUnavailable
	}
	return nil
}

// loseResponse returns the error of a write, or winch.ErrUncertain if the response to a successful one is to be lost.
func (s fakeStore) loseResponse(err error) error {
	s.n.mu.Lock()
	defer s.n.mu.Unlock()
	if err == nil && s.n.lostResponses > 0 {
		s.n.lostResponses--
		return winch.ErrUncertain
	}
	return err
}

func (s fakeStore) Get(ctx context.Context, key string) (winch.Value, error) {
	if err := s.check(); err != nil {
		return winch.Value{}, err
	}
	return s.n.w.platform.Get(ctx, key)
}

func (s fakeStore) Put(ctx context.Context, key string, data []byte, version uint64, lease string) (uint64, error) {
	if err := s.check(); err != nil {
		return 0, err
	}
	v, err := s.n.w.platform.Put(ctx, key, data, version, lease)
	return v, s.loseResponse(err)
}

func (s fakeStore) Delete(ctx context.Context, key string, version uint64) error {
	if err := s.check(); err != nil {
		return err
	}
	return s.loseResponse(s.n.w.platform.Delete(ctx, key, version))
}

func (s fakeStore) List(ctx context.Context, prefix string) ([]winch.Value, error) {
	if err := s.check(); err != nil {
		return nil, err
	}
	return s.n.w.platform.List(ctx, prefix)
}

func (s fakeStore) Grant(ctx context.Context, ttl time.Duration) (string, error) {
	if err := s.check(); err != nil {
		return "", err
	}
	return s.n.w.platform.Grant(ctx, ttl)
}

func (s fakeStore) Renew(ctx context.Context, lease string) error {
	if err := s.check(); err != nil {
		return err
	}
	return s.n.w.platform.Renew(ctx, lease)
}

func (s fakeStore) Revoke(ctx context.Context, lease string) error {
	if err := s.check(); err != nil {
		return err
	}
	return s.n.w.platform.Revoke(ctx, lease)
}

func (s fakeStore) Watch(ctx context.Context, prefixes []string, after uint64) ([]winch.Change, uint64, error) {
	if err := s.check(); err != nil {
		return nil, 0, err
	}
	s.n.mu.Lock()
	changed := s.n.storeChanged
	s.n.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group conc.WaitGroup
	defer group.Wait()
	group.Go(func() {
		select {
		case <-changed:
			cancel()
		case <-ctx.Done():
		}
	})
	changes, next, err := s.n.w.platform.Watch(ctx, prefixes, after)
	cancel()
	return changes, next, err
}

func (s fakeStore) VMs(ctx context.Context, known uint64) ([]winch.VM, uint64, error) {
	if err := s.check(); err != nil {
		return nil, 0, err
	}
	return s.n.w.platform.VMs(ctx, known)
}

// fakeWorkers passes calls to the workers and checks the invariants.
type fakeWorkers struct{ n *node }

// connect returns a worker that the entry can reach.
func (f fakeWorkers) connect(vm winch.VM) (*stand.Worker, error) {
	f.n.mu.Lock()
	paused := f.n.gate != nil
	f.n.mu.Unlock()
	if err := f.n.awaitGate(); err != nil {
		return nil, err
	}
	if paused && f.n.w.noFencing {
		// Workers that do not compare epochs cannot reject a command that was sent before the pause and arrives after
		// it. The entry's own check covers pauses up to the send; only those are tested here.
		return nil, errReset
	}
	time.Sleep(hopDelay)
	f.n.w.mu.Lock()
	partitioned := f.n.w.partitions[[2]string{f.n.Name(), vm.ID}]
	f.n.w.mu.Unlock()
	if partitioned {
		return nil, errReset
	}
	w := f.n.w.fleet()[vm.ID]
	if w == nil {
		return nil, winch.ErrRefused
	}
	return w, nil
}

func (f fakeWorkers) Start(ctx context.Context, vm winch.VM, epoch uint64, task winch.Task, lease time.Duration) error {
	s, err := f.connect(vm)
	if err != nil {
		return err
	}
	f.n.w.mu.Lock()
	delayed := f.n.w.delayedStarts > 0
	if delayed {
		f.n.w.delayedStarts--
	}
	f.n.w.mu.Unlock()
	if delayed {
		f.n.w.executors.group.Go(func() {
			time.Sleep(8 * time.Second)
			if s.Start(context.Background(), epoch, task, lease) == nil {
				f.n.w.checkStart(s, task)
			}
		})
		return errReset
	}
	before := s.Counts().Starts[task.ID.String()]
	err = s.Start(ctx, epoch, task, lease)
	if s.Counts().Starts[task.ID.String()] > before {
		f.n.w.checkStart(s, task)
	}
	return err
}

func (f fakeWorkers) Renew(ctx context.Context, vm winch.VM, call winch.Renewal) (winch.Report, error) {
	s, err := f.connect(vm)
	if err != nil {
		return winch.Report{}, err
	}
	out, err := s.Renew(ctx, call)
	if killed := f.n.awaitGate(); killed != nil {
		return out, killed
	}
	return out, err
}

func (f fakeWorkers) Stop(ctx context.Context, vm winch.VM, epoch uint64, task winch.Task) (bool, error) {
	s, err := f.connect(vm)
	if err != nil {
		return false, err
	}
	return s.Stop(ctx, epoch, task)
}

// fakeExecutors runs requests. A body that begins with take=5s makes the request run for 5 s.
type fakeExecutors struct {
	w          *world
	mu         sync.Mutex
	runs       map[string]int // runs counts the runs of each request by its id.
	served     map[string]int // served counts the requests of each executor.
	busy       map[string]int
	peak       int
	teams      map[string]int
	blocked    map[string]chan struct{} // blocked holds a channel for each executor that must not respond until it is closed.
	deaths     map[string]chan struct{} // deaths holds a channel for each executor; it is closed once the executor is dead.
	wrongID    bool                     // wrongID makes executors respond with the id of another request.
	truncateAt int                      // truncateAt is the length at which responses break off, if it is not zero.
	received   int
	group      conc.WaitGroup
}

type fakeExecutor struct {
	f *fakeExecutors
	n *node
}

func (f *fakeExecutors) forNode(n *node) fakeExecutor { return fakeExecutor{f, n} }

func (f *fakeExecutors) running(team string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.teams[team]
}

func (f *fakeExecutors) runCount(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runs[id]
}

// died returns the channel that is closed when an executor dies. The caller must hold f.mu.
func (f *fakeExecutors) died(id string) chan struct{} {
	if f.deaths == nil {
		f.deaths = make(map[string]chan struct{})
	}
	if f.deaths[id] == nil {
		f.deaths[id] = make(chan struct{})
	}
	return f.deaths[id]
}

// unblockAll lets all executors respond again.
func (f *fakeExecutors) unblockAll() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, ch := range f.blocked {
		delete(f.blocked, id)
		close(ch)
	}
}

// block keeps an executor from responding until the returned function is called.
func (f *fakeExecutors) block(id string) (unblock func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.blocked[id] != nil {
		return func() {}
	}
	ch := make(chan struct{})
	f.blocked[id] = ch
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.blocked[id] == ch {
			delete(f.blocked, id)
			close(ch)
		}
	}
}

var errReset = errors.New("connection reset")

func (x fakeExecutor) Send(ctx context.Context, vm winch.VM, req winch.Request) (*winch.Response, bool, error) {
	if err := x.n.awaitGate(); err != nil {
		return nil, false, err
	}
	f := x.f
	f.mu.Lock()
	died := f.died(vm.ID)
	f.mu.Unlock()
	select {
	case <-died:
		return nil, false, errReset
	default:
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return nil, true, err
	}
	done := make(chan struct{})
	f.beginRun(vm.ID, req)
	f.group.Go(func() { // The request runs on even if its caller goes away.
		defer close(done)
		f.work(vm.ID, string(body))
		f.endRun(vm.ID, req)
	})
	select {
	case <-done:
	case <-died:
		return nil, true, errReset
	case <-ctx.Done():
		return nil, true, ctx.Err()
	}
	return f.respond(req, body)
}

func (f *fakeExecutors) respond(req winch.Request, body []byte) (*winch.Response, bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	echo := req.ID
	if f.wrongID {
		echo = "another"
	}
	var reader io.Reader = strings.NewReader(string(body))
	if f.truncateAt > 0 {
		reader = io.MultiReader(strings.NewReader(string(body[:f.truncateAt])), brokenReader{})
	}
	return &winch.Response{Status: http.StatusOK, Header: make(http.Header), Body: io.NopCloser(reader), RequestID: echo}, true, nil
}

type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, errReset }

func (f *fakeExecutors) beginRun(id string, req winch.Request) {
	f.mu.Lock()
	f.received++
	f.runs[req.Header.Get("Stand-Caller")]++
	f.served[id]++
	f.busy[id]++
	f.peak = max(f.peak, f.busy[id])
	f.teams[req.Team]++
	f.mu.Unlock()
	f.w.checkLimit(req.Team)
}

func (f *fakeExecutors) endRun(id string, req winch.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.busy[id]--
	f.teams[req.Team]--
}

// totalRuns returns how many requests reached an executor.
func (f *fakeExecutors) totalRuns() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.received
}

func (f *fakeExecutors) work(id, body string) {
	if text, ok := strings.CutPrefix(body, "take="); ok {
		text, _, _ = strings.Cut(text, " ")
		if d, err := time.ParseDuration(text); err == nil {
			time.Sleep(d)
		}
	}
	f.mu.Lock()
	blocked := f.blocked[id]
	f.mu.Unlock()
	if blocked != nil {
		<-blocked
	}
}
