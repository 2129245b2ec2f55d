package region

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"plantainwinch/winch"
)

// world is a region in one test: a store, workers and entries that reach each
// other as the test says. All checks of what must hold are made where it would
// be seen: at the workers and in the answers to callers.
type world struct {
	t       *testing.T
	rand    *rand.Rand
	randMu  sync.Mutex
	mu      sync.Mutex
	nodes   map[string]*simNode
	workers map[string]*simWorker
	store   *simStore
	// cut holds the failure domains that reach only themselves.
	cut map[string]bool
	// running counts, by task, the runs at workers that are up.
	running map[winch.RunID]int
	noted   map[winch.RunID]bool
	broken  []string
	log     *simLog
	group   conc.WaitGroup
	ctx     context.Context
	cancel  context.CancelFunc
}

// simNode is one entry, which may be killed and started again.
type simNode struct {
	world  *world
	host   string
	domain string
	node   *Node
	boots  int
	cancel context.CancelFunc
	frozen bool
}

const perDomain = 2

func newWorld(t *testing.T, seed uint64, domains, workers int) *world {
	w := &world{
		t: t, rand: rand.New(rand.NewPCG(seed, 1)), nodes: make(map[string]*simNode), workers: make(map[string]*simWorker),
		cut: make(map[string]bool), running: make(map[winch.RunID]int), noted: make(map[winch.RunID]bool),
	}
	w.log = &simLog{begin: time.Now()}
	w.ctx, w.cancel = context.WithCancel(t.Context())
	w.store = &simStore{world: w, items: make(map[string]winch.Value), leases: make(map[uint64]*simLease), owner: make(map[string]uint64), revision: 1}
	w.store.put("op/config", mustJSON(simConfig(1)), 0)
	w.group.Go(func() { w.store.expire(w.ctx) })
	for i := range workers {
		w.addWorker(fmt.Sprintf("w%d", i), fmt.Sprintf("d%d", i%domains))
	}
	for d := range domains {
		for i := range perDomain {
			n := &simNode{world: w, host: fmt.Sprintf("d%d-%d", d, i), domain: fmt.Sprintf("d%d", d)}
			w.nodes[n.host] = n
			n.start()
		}
	}
	return w
}

func simConfig(version uint64) *winch.RegionConfig {
	return &winch.RegionConfig{Version: version, Queues: []winch.Queue{
		{Name: "preview", Service: "render", Attempts: 2, Target: 250 * time.Millisecond, Stretch: 1.5},
		{Name: "mix", Service: "render", Priority: 2, Attempts: 3, Target: time.Second, Stretch: 2},
	}, Teams: []winch.RegionTeam{{Name: "choir"}}}
}

func mustJSON(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}

// simCodec reads the world's own formats.
type simCodec struct{}

func (simCodec) ConfigKey() string    { return "op/config" }
func (simCodec) WorkerPrefix() string { return "workers/" }

func (simCodec) Config(data []byte) (*winch.RegionConfig, error) {
	c := new(winch.RegionConfig)
	return c, json.Unmarshal(data, c)
}

func (simCodec) Worker(_ string, data []byte) (winch.WorkerVM, bool) {
	var vm winch.WorkerVM
	return vm, json.Unmarshal(data, &vm) == nil && vm.ID != ""
}

func (n *simNode) start() {
	n.boots++
	ctx, cancel := context.WithCancel(n.world.ctx)
	n.cancel = cancel
	node := &Node{
		Name: fmt.Sprintf("%s/%d", n.host, n.boots), Host: n.host, Domain: n.domain, Address: n.host, Share: 400,
		Timing: Timing{Lease: 6 * time.Second, Keep: time.Minute, Grace: 6 * time.Second},
		Codec:  simCodec{}, Log: n.world.log.logger(n.host), Metrics: metrics.NewRegistry(),
	}
	node.Table = &simTable{store: n.world.store, node: node}
	node.Runner = &simRunner{world: n.world, node: node}
	node.Peers = &simPeers{world: n.world, node: node}
	node.Advisor = nil
	node.Prepare()
	n.world.mu.Lock()
	n.node = node
	n.world.mu.Unlock()
	n.world.group.Go(func() { node.Run(ctx) })
}

// stop stops an entry as planned; it is killed later.
func (n *simNode) stop() {
	n.world.mu.Lock()
	node := n.node
	n.world.mu.Unlock()
	if node != nil {
		node.Stop(n.world.ctx)
	}
}

// kill ends an entry at once.
func (n *simNode) kill() {
	n.world.mu.Lock()
	node := n.node
	n.node = nil
	n.world.mu.Unlock()
	if node != nil {
		n.cancel()
	}
}

// intn returns a number from the world's seed.
func (w *world) intn(n int) int {
	w.randMu.Lock()
	defer w.randMu.Unlock()
	return w.rand.IntN(n)
}

// end stops the world and reports what was broken.
func (w *world) end() {
	w.cancel()
	w.group.Wait()
	for _, line := range w.broken {
		w.t.Error(line)
	}
	if len(w.broken) > 0 {
		w.log.show(w.t)
	}
}

// simLog keeps what the entries log, for runs that fail.
type simLog struct {
	mu    sync.Mutex
	begin time.Time
	lines []string
}

func (l *simLog) logger(host string) *zap.Logger {
	c := zap.NewProductionEncoderConfig()
	c.TimeKey, c.StacktraceKey = "", ""
	return zap.New(zapcore.NewCore(zapcore.NewConsoleEncoder(c), l, zapcore.InfoLevel)).Named(host)
}

// Write implements io.Writer.
func (l *simLog) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lines = append(l.lines, fmt.Sprintf("%8.3f %s", time.Since(l.begin).Seconds(), line))
	return len(line), nil
}

func (l *simLog) note(format string, args ...any) {
	_, _ = fmt.Fprintf(l, format, args...) // It is kept in memory.
}

// Sync implements zapcore.WriteSyncer.
func (l *simLog) Sync() error { return nil }

func (l *simLog) show(t *testing.T) {
	for _, line := range l.lines {
		t.Log(strings.TrimSpace(line))
	}
}

func (w *world) breaks(format string, args ...any) {
	w.broken = append(w.broken, fmt.Sprintf(format, args...))
}

// reaches reports whether a domain reaches another; the store lies in "".
func (w *world) reaches(from, to string) bool {
	return from == to || !w.cut[from] && !w.cut[to]
}

// live returns the boots that run now, by name.
func (w *world) live() map[string]*Node {
	out := make(map[string]*Node)
	for _, n := range w.nodes {
		if n.node != nil {
			out[n.node.Name] = n.node
		}
	}
	return out
}

// simPeers carries messages between the entries of the world.
type simPeers struct {
	world *world
	node  *Node
}

const simDelay = time.Millisecond

func (p *simPeers) Names() []string {
	p.world.mu.Lock()
	defer p.world.mu.Unlock()
	var out []string
	for name, n := range p.world.live() {
		if n != p.node && p.world.reaches(p.node.Domain, n.Domain) {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

func (p *simPeers) target(to string) *Node {
	p.world.mu.Lock()
	defer p.world.mu.Unlock()
	n := p.world.live()[to]
	if n == nil || !p.world.reaches(p.node.Domain, n.Domain) || p.world.live()[p.node.Name] == nil {
		return nil
	}
	return n
}

func (p *simPeers) Ask(ctx context.Context, to string, kind winch.Kind, body, reply any) error {
	data, err := cbor.Marshal(body)
	if err != nil {
		return err
	}
	time.Sleep(simDelay)
	n := p.target(to)
	if n == nil {
		<-ctx.Done()
		return winch.ErrPeerLost
	}
	answer := n.Handle(ctx, p.node.Name, kind, func(into any) error { return cbor.Unmarshal(data, into) })
	time.Sleep(simDelay)
	if p.target(to) == nil {
		<-ctx.Done()
		return winch.ErrPeerLost
	}
	data, err = cbor.Marshal(answer)
	if err != nil {
		return err
	}
	return cbor.Unmarshal(data, reply)
}

func (p *simPeers) Tell(to string, kind winch.Kind, body any) error {
	n := p.target(to)
	if n == nil {
		return winch.ErrNoPeer
	}
	data, err := cbor.Marshal(body)
	if err != nil {
		return err
	}
	n.Handle(context.Background(), p.node.Name, kind, func(into any) error { return cbor.Unmarshal(data, into) })
	return nil
}

// simStore is the platform's store.
type simStore struct {
	world    *world
	mu       sync.Mutex
	items    map[string]winch.Value
	owner    map[string]uint64
	events   []winch.Event
	leases   map[uint64]*simLease
	revision uint64
	down     bool // down makes all calls go unanswered.
	lossy    bool // lossy loses the answers of half of the transactions.
	calls    int
}

type simLease struct {
	ttl   time.Duration
	until time.Time
}

func (s *simStore) put(key string, data []byte, lease uint64) {
	s.revision++
	v := winch.Value{Key: key, Data: data, Version: s.revision}
	s.items[key] = v
	s.events = append(s.events, winch.Event{Value: v})
	s.owner[key] = lease
}

func (s *simStore) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	delete(s.owner, key)
	s.events = append(s.events, winch.Event{Value: winch.Value{Key: key, Version: s.revision}, Deleted: true})
}

func (s *simStore) expire(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(20 * time.Millisecond)
		s.mu.Lock()
		for id, l := range s.leases {
			if time.Now().After(l.until) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

func (s *simStore) endLease(id uint64) {
	if s.leases[id] == nil {
		return
	}
	delete(s.leases, id)
	for key, owner := range s.owner {
		if owner == id {
			s.remove(key)
		}
	}
}

// simTable is an entry's way to the store.
type simTable struct {
	store *simStore
	node  *Node
}

// call makes a call if the store is reached, and waits in vain if not.
func (t *simTable) call(ctx context.Context, f func()) error {
	time.Sleep(2 * time.Millisecond)
	w := t.store.world
	w.mu.Lock()
	reached := w.reaches(t.node.Domain, "") && w.live()[t.node.Name] != nil
	w.mu.Unlock()
	t.store.mu.Lock()
	if reached && !t.store.down {
		t.store.calls++
		f()
		t.store.mu.Unlock()
		t.node.Heard()
		time.Sleep(2 * time.Millisecond)
		return nil
	}
	t.store.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	<-ctx.Done()
	return winch.ErrUncertain
}

func (t *simTable) Read(ctx context.Context, prefix string) (out []winch.Value, asOf uint64, err error) {
	err = t.call(ctx, func() {
		for key, v := range t.store.items {
			if strings.HasPrefix(key, prefix) {
				out = append(out, v)
			}
		}
		asOf = t.store.revision
	})
	return out, asOf, err
}

func (t *simTable) Follow(ctx context.Context, prefix string, after uint64, wait time.Duration) (out []winch.Event, next uint64, err error) {
	begin := time.Now()
	for {
		err = t.call(ctx, func() {
			next = t.store.revision
			for _, e := range t.store.events {
				if e.Version > after && strings.HasPrefix(e.Key, prefix) {
					out = append(out, e)
				}
			}
		})
		if err != nil || len(out) > 0 || time.Since(begin) >= wait {
			return out, next, err
		}
		if ctx.Err() != nil {
			return nil, after, winch.ErrUncertain
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (t *simTable) Commit(ctx context.Context, txn winch.Txn) (revision uint64, err error) {
	var result error
	lost := false
	err = t.call(ctx, func() {
		conflict := &winch.ConflictError{Current: make(map[string]winch.Value)}
		for key, at := range txn.Expect {
			conflict.Current[key] = t.store.items[key]
			if t.store.items[key].Version != at {
				result = conflict
			}
		}
		if result != nil {
			return
		}
		for _, x := range txn.Writes {
			if x.Lease != 0 && t.store.leases[x.Lease] == nil {
				result = winch.ErrMissing
				return
			}
		}
		for _, x := range txn.Writes {
			t.store.put(x.Key, x.Data, x.Lease)
		}
		for _, key := range txn.Remove {
			t.store.remove(key)
		}
		// All writes of a transaction have one revision.
		for _, x := range txn.Writes {
			v := t.store.items[x.Key]
			v.Version = t.store.revision
			t.store.items[x.Key] = v
		}
		for i := range t.store.events[len(t.store.events)-len(txn.Writes):] {
			t.store.events[len(t.store.events)-len(txn.Writes)+i].Version = t.store.revision
		}
		revision = t.store.revision
		lost = t.store.lossy && t.store.world.intn(2) == 0
	})
	if err == nil && lost {
		time.Sleep(300 * time.Millisecond)
		return 0, winch.ErrUncertain
	}
	return revision, errors.Join(err, result)
}

func (t *simTable) Lease(ctx context.Context, ttl time.Duration) (id uint64, err error) {
	err = t.call(ctx, func() {
		t.store.revision++
		id = t.store.revision
		t.store.leases[id] = &simLease{ttl: ttl, until: time.Now().Add(ttl)}
	})
	return id, err
}

func (t *simTable) Keep(ctx context.Context, id uint64) error {
	var result error
	err := t.call(ctx, func() {
		l := t.store.leases[id]
		if l == nil {
			result = winch.ErrMissing
			return
		}
		l.until = time.Now().Add(l.ttl)
	})
	return errors.Join(err, result)
}

func (t *simTable) End(ctx context.Context, id uint64) error {
	return t.call(ctx, func() { t.store.endLease(id) })
}

// simWorker is one boot of a worker VM.
type simWorker struct {
	vm    winch.WorkerVM
	mu    sync.Mutex
	begin time.Time
	token uint64
	until time.Duration
	runs  map[simKey]*simRun
	most  map[winch.RunID]uint64 // most is the highest run ended or stopped, by task.
	ended []winch.Ended
	next  uint64
	used  int64
	down  bool
	// mute makes starts and stops go unanswered though they are carried out.
	mute bool
}

type simKey struct {
	task winch.RunID
	run  uint64
}

type simRun struct {
	end   time.Time
	fails bool
	milli int64
}

// simMilli is what each task of the world needs, simWork how long it runs.
const (
	simMilli = 1000
	simWork  = 400 * time.Millisecond
)

func (w *world) addWorker(id, domain string) {
	vm := winch.WorkerVM{
		ID: id, Address: id, Service: "render", Domain: domain, Rack: "r" + domain,
		Room: winch.Room{Milli: 4000, Memory: 1 << 40}, Born: int64(len(w.workers) + 1),
	}
	x := &simWorker{vm: vm, begin: time.Now(), runs: make(map[simKey]*simRun), most: make(map[winch.RunID]uint64)}
	w.workers[id] = x
	w.store.mu.Lock()
	w.store.put("workers/"+id, mustJSON(vm), 0)
	w.store.mu.Unlock()
	w.group.Go(func() { x.work(w) })
}

// work lets runs end when their time has come, and all when the lease has lapsed.
func (x *simWorker) work(w *world) {
	for w.ctx.Err() == nil {
		time.Sleep(10 * time.Millisecond)
		w.mu.Lock()
		x.mu.Lock()
		now := time.Now()
		lapsed := now.Sub(x.begin) > x.until
		for key, r := range x.runs {
			switch {
			case lapsed:
				x.end(w, key, winch.EndLapsed)
			case now.After(r.end) && r.fails:
				x.end(w, key, winch.EndFailed)
			case now.After(r.end):
				x.end(w, key, winch.EndDone)
			}
		}
		x.mu.Unlock()
		w.mu.Unlock()
	}
}

func (x *simWorker) end(w *world, key simKey, kind winch.EndKind) {
	r := x.runs[key]
	delete(x.runs, key)
	x.used -= r.milli
	x.most[key.task] = max(x.most[key.task], key.run)
	if !x.down {
		w.running[key.task]--
	}
	x.next++
	x.ended = append(x.ended, winch.Ended{Number: x.next, Task: key.task, Run: key.run, Kind: kind})
}

// simRunner is an entry's way to the workers.
type simRunner struct {
	world *world
	node  *Node
}

// call runs f at a worker with both locks held, if the worker is reached.
func (r *simRunner) call(ctx context.Context, vm winch.WorkerVM, f func(x *simWorker) error) error {
	time.Sleep(simDelay)
	w := r.world
	w.mu.Lock()
	x := w.workers[vm.ID]
	if x == nil || x.down || !w.reaches(r.node.Domain, x.vm.Domain) || w.live()[r.node.Name] == nil {
		w.mu.Unlock()
		<-ctx.Done()
		return winch.ErrUncertain
	}
	x.mu.Lock()
	var err error
	if x.vm.Born != vm.Born {
		err = winch.ErrOtherBoot
	} else {
		err = f(x)
	}
	mute := x.mute
	x.mu.Unlock()
	w.mu.Unlock()
	if mute {
		<-ctx.Done()
		return winch.ErrUncertain
	}
	time.Sleep(simDelay)
	return err
}

func (x *simWorker) fence(token uint64) error {
	if token < x.token {
		return winch.ErrFenced
	}
	x.token = token
	return nil
}

func (r *simRunner) Hold(ctx context.Context, vm winch.WorkerVM, c winch.HoldCall) (out winch.Holding, err error) {
	begin := time.Now()
	for {
		err = r.call(ctx, vm, func(x *simWorker) error {
			if err := x.fence(c.Token); err != nil {
				return err
			}
			x.until = max(x.until, c.Until)
			x.ended = slices.DeleteFunc(x.ended, func(e winch.Ended) bool {
				if e.Number <= c.Forget && e.Kind == winch.EndDone {
					r.world.noted[e.Task] = true
					r.world.log.note("%v of %s is noted at %s by %s", e.Task, e.Task.Job, x.vm.ID, r.node.Name)
				}
				return e.Number <= c.Forget
			})
			out = winch.Holding{Clock: time.Since(x.begin), Ended: slices.Clone(x.ended)}
			for key := range x.runs {
				out.Running = append(out.Running, winch.Running{Task: key.task, Run: key.run})
			}
			return nil
		})
		if err != nil || len(out.Ended) > 0 || time.Since(begin) >= c.Wait || ctx.Err() != nil {
			return out, err
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (r *simRunner) Start(ctx context.Context, vm winch.WorkerVM, c winch.StartCall) (winch.StartResult, time.Duration) {
	result := winch.StartOK
	err := r.call(ctx, vm, func(x *simWorker) error {
		key := simKey{c.Task, c.Run}
		switch {
		case x.fence(c.Token) != nil:
			result = winch.StartFenced
		case time.Since(x.begin) > c.Until:
			result = winch.StartLate
		case x.runs[key] != nil:
		case c.Run <= x.most[c.Task]:
			result = winch.StartOld
		default:
			x.until = max(x.until, c.Until)
			x.begins(r.world, key, c)
		}
		return nil
	})
	switch {
	case errors.Is(err, winch.ErrOtherBoot):
		return winch.StartOtherBoot, 0
	case err != nil:
		return winch.StartUncertain, 0
	}
	return result, 0
}

// begins starts a run and checks what must hold.
func (x *simWorker) begins(w *world, key simKey, c winch.StartCall) {
	w.log.note("%v of %s begins as %d at %s", c.Task, c.Task.Job, c.Run, x.vm.ID)
	if w.running[c.Task] > 0 {
		w.breaks("%v: %v runs twice at once", time.Since(x.begin), c.Task)
	}
	if w.noted[c.Task] {
		w.breaks("%v: %v is started after its end was recorded", time.Since(x.begin), c.Task)
	}
	if x.used+simMilli > x.vm.Room.Milli {
		w.breaks("%v: %s is filled beyond its room", time.Since(x.begin), x.vm.ID)
	}
	w.running[c.Task]++
	x.used += simMilli
	x.runs[key] = &simRun{end: time.Now().Add(simWork), milli: simMilli, fails: w.intn(20) == 0}
}

func (r *simRunner) Stop(ctx context.Context, vm winch.WorkerVM, token uint64, task winch.RunID, run uint64) error {
	return r.call(ctx, vm, func(x *simWorker) error {
		if err := x.fence(token); err != nil {
			return err
		}
		x.most[task] = max(x.most[task], run)
		if x.runs[simKey{task, run}] != nil {
			x.end(r.world, simKey{task, run}, winch.EndStopped)
		}
		return nil
	})
}

func (r *simRunner) Pace(context.Context, winch.WorkerVM, uint64, winch.RunID, uint64, int) error {
	return nil
}

func (r *simRunner) Drop(winch.WorkerVM) {}

// submit hands a job in at any entry until it is accepted.
func (w *world) submit(id string, phases ...winch.Phase) {
	for w.ctx.Err() == nil {
		w.mu.Lock()
		names := slices.Sorted(maps.Keys(w.live()))
		var n *Node
		if len(names) > 0 {
			n = w.live()[names[w.intn(len(names))]]
		}
		w.mu.Unlock()
		if n != nil && n.Config() != nil {
			job := &winch.PhasedJob{ID: id, Queue: "preview", Team: "choir", Command: "work", Phases: phases, Accepted: time.Now()}
			ctx, cancel := context.WithTimeout(w.ctx, 2*time.Second)
			result := n.Submit(ctx, job)
			cancel()
			if result.OK() {
				return
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// await asks until a job is shown as ended, and fails after a time.
func (w *world) await(id string, limit time.Duration) winch.JobState {
	end := time.Now().Add(limit)
	for time.Now().Before(end) {
		w.mu.Lock()
		live := slices.Collect(maps.Values(w.live()))
		w.mu.Unlock()
		for _, n := range live {
			if state, result := n.State(w.ctx, id); result.OK() && state.Final() {
				return state
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	w.mu.Lock()
	w.breaks("%s has not ended after %v", id, limit)
	w.mu.Unlock()
	return ""
}

// planner returns the entry that holds the office, or nil.
func (w *world) planner() *simNode {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, n := range w.nodes {
		if n.node != nil {
			if l := n.node.lead.Load(); l != nil && l.valid.Load().left() > 0 {
				return n
			}
		}
	}
	return nil
}
