package region

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"plantainwinch/proto"
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
	// addresses holds the boot that answers at each address, boots counts all.
	addresses map[string]*simWorker
	boots     int64
	store     *simStore
	// cut holds the failure domains that reach only themselves.
	cut map[string]bool
	// paths holds what gets nowhere on one way between entries, or between an entry and
	// a worker; links holds the links between entries that have ended for it.
	paths map[simPath]int
	links map[simPath]int
	// frozen holds, by the host of an entry that stands still, what came meanwhile.
	frozen map[string]*simFrozen
	// share holds the processor shares of entries; others have 400.
	share map[string]int
	// running counts, by task, the runs at workers, also at those that do not answer.
	running map[winch.RunID]int
	noted   map[winch.RunID]bool
	done    map[winch.RunID][]*simDone
	failed  map[winch.RunID]int // failed counts the runs that ended in failure.
	lasting lastingView
	gangs   map[simKey]*simGang
	crashes crashView
	// windows checks tasks that last in the random runs; others have none.
	windows *lastingWindows
	// lost says which questions between entries get lost.
	lost func(from, to string, kind winch.Kind) bool
	// late says how long a question waits at the entry that is asked before that takes
	// it up, as in the buffers of a process that is frozen. It need not be reached then.
	late   func(from, to string, kind winch.Kind) time.Duration
	copies int // copies counts the configurations that entries gave each other.
	broken []string
	log    *simLog
	group  conc.WaitGroup
	ctx    context.Context
	cancel context.CancelFunc
}

// simNode is one entry, which may be killed and started again.
type simNode struct {
	world  *world
	host   string
	domain string
	node   *Node
	boots  int
	cancel context.CancelFunc
}

const perDomain = 2

func newWorld(t *testing.T, seed uint64, domains, workers int) *world {
	w := &world{
		t: t, rand: rand.New(rand.NewPCG(seed, 1)), nodes: make(map[string]*simNode), workers: make(map[string]*simWorker), addresses: make(map[string]*simWorker),
		cut: make(map[string]bool), paths: make(map[simPath]int), links: make(map[simPath]int), frozen: make(map[string]*simFrozen), gangs: make(map[simKey]*simGang), running: make(map[winch.RunID]int), noted: make(map[winch.RunID]bool), done: make(map[winch.RunID][]*simDone), failed: make(map[winch.RunID]int),
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
		Timing: Timing{Lease: 6 * time.Second, Keep: time.Minute},
		Codec:  simCodec{}, Log: n.world.log.logger(n.host), Metrics: metrics.NewRegistry(),
	}
	if share, ok := n.world.share[n.host]; ok {
		node.Share = share
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
	n.world.mu.Unlock()
	n.killBoot(node)
}

// killBoot ends one boot of an entry, and reports whether that was what ended it.
func (n *simNode) killBoot(node *Node) bool {
	n.world.mu.Lock()
	defer n.world.mu.Unlock()
	if node == nil || n.node != node {
		return false
	}
	n.node = nil
	n.cancel()
	return true
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

// count returns the number of lines that hold a text.
func (l *simLog) count(text string) (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, line := range l.lines {
		if strings.Contains(line, text) {
			n++
		}
	}
	return n
}

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

// simPath is a way between two hosts.
type simPath struct{ from, to string }

// linked reports whether two entries have a link.
func (w *world) linked(a, b string) bool {
	return w.links[simPath{a, b}] == 0 && w.links[simPath{b, a}] == 0
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
		if n != p.node && p.world.reaches(p.node.Domain, n.Domain) && p.world.linked(p.node.Host, n.Host) {
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
	if n == nil || !p.world.reaches(p.node.Domain, n.Domain) || !p.world.linked(p.node.Host, n.Host) || p.world.live()[p.node.Name] == nil {
		return nil
	}
	return n
}

// passes reports whether what is sent from one host to another arrives there.
func (p *simPeers) passes(from, to string) bool {
	p.world.mu.Lock()
	defer p.world.mu.Unlock()
	return p.world.paths[simPath{from, to}] == 0 && p.world.frozen[from] == nil
}

// simFrozen holds what was sent to an entry that stands still. Its process takes that
// up once it goes on, whoever has given up waiting for it.
type simFrozen struct {
	tells, asks []func()
}

// keeps keeps a message for an entry that stands still, and reports whether it does.
func (w *world) keeps(to *Node, tell bool, take func()) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	f := w.frozen[to.Host]
	switch {
	case f == nil:
		return false
	case tell:
		f.tells = append(f.tells, take)
	default:
		f.asks = append(f.asks, take)
	}
	return true
}

// loses reports whether a question gets lost on its way.
func (p *simPeers) loses(to string, kind winch.Kind) bool {
	p.world.mu.Lock()
	defer p.world.mu.Unlock()
	return p.world.lost != nil && p.world.lost(p.node.Name, to, kind)
}

// delayed returns how long a question waits before it is taken up.
func (p *simPeers) delayed(to string, kind winch.Kind) time.Duration {
	p.world.mu.Lock()
	defer p.world.mu.Unlock()
	if p.world.late == nil {
		return 0
	}
	return p.world.late(p.node.Name, to, kind)
}

// lose has questions between entries get lost; nil ends it.
func (w *world) lose(lost func(from, to string, kind winch.Kind) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lost = lost
}

func (p *simPeers) Ask(ctx context.Context, to string, kind winch.Kind, body, reply any) error {
	data, err := proto.Encode(body)
	if err != nil {
		return err
	}
	time.Sleep(simDelay)
	n := p.target(to)
	if n == nil || p.loses(to, kind) || !p.passes(p.node.Host, n.Host) {
		<-ctx.Done()
		return winch.ErrPeerLost
	}
	take := func(into any) error { return proto.Decode(data, into) }
	if p.world.keeps(n, false, func() { n.Handle(context.Background(), p.node.Name, kind, take) }) {
		<-ctx.Done()
		return winch.ErrPeerLost
	}
	if late := p.delayed(to, kind); late > 0 {
		time.Sleep(late)
		n.Handle(context.Background(), p.node.Name, kind, take)
		return winch.ErrPeerLost
	}
	answer := n.Handle(ctx, p.node.Name, kind, take)
	time.Sleep(simDelay)
	if p.target(to) == nil || !p.passes(n.Host, p.node.Host) {
		<-ctx.Done()
		return winch.ErrPeerLost
	}
	if give, ok := answer.(proto.Settings); ok && len(give.Data) > 0 {
		p.world.mu.Lock()
		p.world.copies++
		p.world.mu.Unlock()
	}
	data, err = proto.Encode(answer)
	if err != nil {
		return err
	}
	return proto.Decode(data, reply)
}

func (p *simPeers) Tell(to string, kind winch.Kind, body any) error {
	n := p.target(to)
	if n == nil {
		return winch.ErrNoPeer
	}
	data, err := proto.Encode(body)
	if err != nil {
		return err
	}
	if !p.passes(p.node.Host, n.Host) {
		return nil // It is lost with the link, which ends for it a moment later.
	}
	take := func() {
		n.Handle(context.Background(), p.node.Name, kind, func(into any) error { return proto.Decode(data, into) })
	}
	if !p.world.keeps(n, true, take) {
		take()
	}
	return nil
}

// submit hands a job in at any entry until it is accepted.
func (w *world) submit(id string, phases ...winch.Phase) {
	w.hand(&winch.PhasedJob{ID: id, Queue: "preview", Team: "choir", Command: "work", Phases: phases})
}

// hand hands a job in at any entry until it is accepted.
func (w *world) hand(job *winch.PhasedJob) {
	for w.ctx.Err() == nil {
		w.mu.Lock()
		names := slices.Sorted(maps.Keys(w.live()))
		var n *Node
		if len(names) > 0 {
			n = w.live()[names[w.intn(len(names))]]
		}
		w.mu.Unlock()
		if n != nil && n.Config() != nil {
			job.Accepted = time.Now()
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
			if l := n.node.lead.Load(); l != nil && l.validity.Load().remaining() > 0 {
				return n
			}
		}
	}
	return nil
}
