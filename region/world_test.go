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
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"plantainwinch/winch"
)

// world is a simulated region in one test: a store, workers and entries whose connections the
// test controls. The invariants are checked where a violation would be visible from outside: at
// the workers and in the responses to callers.
type world struct {
	t       *testing.T
	rand    *rand.Rand
	randMu  sync.Mutex
	mu      sync.Mutex
	nodes   map[string]*simNode
	workers map[string]*simWorker
	// addresses holds the worker boot that responds at each address.
	addresses map[string]*simWorker
	bootCount int64 // bootCount counts the boots of all workers.
	store     *simStore
	// partitioned holds the failure domains that reach neither the store nor any other domain.
	partitioned map[string]bool
	// blockedPaths counts the faults that block one direction between two entries, or between an
	// entry and a worker. brokenLinks counts those that have broken the link between two entries.
	blockedPaths map[simPath]int
	brokenLinks  map[simPath]int
	connected    map[connectedPair]bool // connected holds the links that were made on demand.
	// paused holds, by the host of a paused entry, the messages that arrived during the pause.
	paused map[string]*pausedEntry
	// slow holds how many times as long runs take at the workers that are slower than others.
	slow map[string]float64
	// shares holds the processor shares of entries by host; entries without one have 400.
	shares map[string]int
	policy winch.Policy // policy is that of entries started from now on; the zero value is the default.
	// running counts the runs at workers by task, including those at unresponsive workers.
	running      map[winch.RunID]int
	acknowledged map[winch.RunID]bool            // acknowledged holds the tasks whose completion an entry has acknowledged.
	completed    map[winch.RunID][]*completedRun // completed holds the successful runs by task.
	failed       map[winch.RunID]int             // failed counts the failed runs by task.
	lasting      lastingStatus
	evacuatedAt  map[string]time.Time // evacuatedAt holds when each evacuated failure domain was evacuated.
	gangs        map[runKey]*simGang
	crashes      crashCounter
	evictions    evictionCounter
	copyChecks   copyChecker
	// downtimeChecks checks lasting tasks in the random tests; it is nil in all others.
	downtimeChecks *downtimeChecker
	// dropsRequest reports whether a request between two entries is lost.
	dropsRequest func(from, to string, kind winch.Kind) bool
	// otherResponse, if set, returns the response to a request between two entries, or nil for that of the receiver.
	otherResponse func(from, to string, kind winch.Kind) any
	// requestDelay returns how long a request waits at the receiving entry before it is handled,
	// as in the receive buffers of a paused process. The entry need not be reachable by then.
	requestDelay func(from, to string, kind winch.Kind) time.Duration
	// notifyDelay, if set, returns how long a notification between two entries waits on its way, and whether it
	// arrives.
	notifyDelay func(from, to string, kind winch.Kind) (time.Duration, bool)
	// callDelay, if set, returns how much later a hold or start is carried out than it is sent; its caller gets no response.
	// dropsRefused says that no boot carries out a start late that the boot to which it was sent would refuse by then.
	dropsRefused bool
	callDelay    func(from *Node, vm winch.WorkerVM, call any) time.Duration
	onStart      func(node *Node)       // onStart is called when a worker is told by an entry to start a run.
	onForget     func(winch.Completion) // onForget, if set, is called when a worker forgets a completion.
	notifySeen   func(kind winch.Kind)  // notifySeen is called for each notification between two entries.
	configCopies map[string]int         // configCopies counts the configurations, or parts of one, sent to each entry by others.
	configBytes  int                    // configBytes is their size.
	rates        simRates
	late         *lateness // late, if set, delays messages.
	workerMilli  int64     // workerMilli is the capacity of workers that the scenario starts; zero stands for that of simVM.
	violations   []string  // violations holds the invariant violations seen so far.
	log          *simLog
	group        conc.WaitGroup
	ctx          context.Context
	cancel       context.CancelFunc
}

// simNode is one entry VM, whose process may be killed and restarted.
type simNode struct {
	world  *world
	host   string
	domain string
	node   *Node // node is the running process, nil if there is none.
	boots  int   // boots counts the processes started so far.
	cancel context.CancelFunc
}

// entriesPerDomain is the number of entries in each failure domain.
const entriesPerDomain = 2

// newWorld starts a region. The seed determines all random decisions that are drawn from the world.
func newWorld(t *testing.T, seed uint64, domains, workers int) *world {
	w := &world{
		t: t, rand: rand.New(rand.NewPCG(seed, 1)),
		nodes: make(map[string]*simNode), workers: make(map[string]*simWorker), addresses: make(map[string]*simWorker),
		partitioned: make(map[string]bool), blockedPaths: make(map[simPath]int), brokenLinks: make(map[simPath]int),
		connected: make(map[connectedPair]bool),
		paused:    make(map[string]*pausedEntry), gangs: make(map[runKey]*simGang), running: make(map[winch.RunID]int),
		acknowledged: make(map[winch.RunID]bool), completed: make(map[winch.RunID][]*completedRun), failed: make(map[winch.RunID]int),
		evacuatedAt: make(map[string]time.Time), copyChecks: newCopyChecker(), configCopies: make(map[string]int),
	}
	w.log = &simLog{startedAt: time.Now()}
	w.ctx, w.cancel = context.WithCancel(t.Context())
	w.store = &simStore{world: w, items: make(map[string]winch.Value), leases: make(map[uint64]*simLease), keyLeases: make(map[string]uint64), revision: 1}
	w.store.put("op/config", mustJSON(simConfig(1)), 0)
	w.group.Go(func() { w.store.expireLeases(w.ctx) })
	for i := range workers {
		w.addWorker(fmt.Sprintf("w%d", i), fmt.Sprintf("d%d", i%domains))
	}
	var nodes []*simNode
	for d := range domains {
		for i := range entriesPerDomain {
			n := &simNode{world: w, host: fmt.Sprintf("d%d-%d", d, i), domain: fmt.Sprintf("d%d", d)}
			w.nodes[n.host] = n
			nodes = append(nodes, n)
		}
	}
	for _, n := range nodes {
		n.start()
	}
	return w
}

// simConfig returns a configuration with two queues and one team.
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

// simCodec decodes the records that the simulated store holds.
type simCodec struct{}

func (simCodec) OperatorPrefix() string   { return "op/" }
func (simCodec) ConfigKey() string        { return "op/config" }
func (simCodec) EvacuationPrefix() string { return "op/evacuate/" }
func (simCodec) WorkerPrefix() string     { return "workers/" }

func (simCodec) Config(data []byte) (*winch.RegionConfig, error) {
	c := new(winch.RegionConfig)
	return c, json.Unmarshal(data, c)
}

func (simCodec) Worker(_ string, data []byte) (winch.WorkerVM, bool) {
	var vm winch.WorkerVM
	return vm, json.Unmarshal(data, &vm) == nil && vm.ID != ""
}

// start starts a new process of the entry.
func (n *simNode) start() {
	n.boots++
	ctx, cancel := context.WithCancel(n.world.ctx)
	n.cancel = cancel
	node := &Node{
		Name: fmt.Sprintf("%s/%d", n.host, n.boots), Host: n.host, Domain: n.domain, Address: n.host, Share: 400,
		Timing: Timing{Lease: 6 * time.Second, Retention: time.Minute},
		Codec:  simCodec{}, Log: n.world.log.logger(n.host), Metrics: metrics.NewRegistry(),
		Policy: n.world.policy,
	}
	if share, ok := n.world.shares[n.host]; ok {
		node.Share = share
	}
	node.Table = &simTable{store: n.world.store, node: node}
	node.Runner = &simRunner{world: n.world, node: node}
	node.Peers = &simPeers{world: n.world, node: node}
	node.Advisor = nil
	node.OnContactsChange = n.world.noteLinks
	node.Prepare()
	n.world.mu.Lock()
	n.node = node
	n.world.mu.Unlock()
	n.world.group.Go(func() { node.Run(ctx) })
}

// stop stops the entry as planned. Its process goes on until it is killed.
func (n *simNode) stop() {
	n.world.mu.Lock()
	node := n.node
	n.world.mu.Unlock()
	if node != nil {
		node.Stop(n.world.ctx)
	}
}

// kill ends the entry's process at once.
func (n *simNode) kill() {
	n.world.mu.Lock()
	node := n.node
	n.world.mu.Unlock()
	n.killBoot(node)
}

// killBoot ends one process of the entry, and reports whether it was still running.
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

// intn returns a random number below n, drawn from the world's seeded generator.
func (w *world) intn(n int) int {
	w.randMu.Lock()
	defer w.randMu.Unlock()
	return w.rand.IntN(n)
}

// end stops the region, and fails the test if an invariant was violated.
func (w *world) end() {
	w.cancel()
	w.group.Wait()
	if n := w.log.count("run reported at a replaced boot"); n > 0 {
		w.reportViolation("%d runs were reported at replaced boots", n)
	}
	for _, line := range w.violations {
		w.t.Error(line)
	}
	if len(w.violations) > 0 {
		w.log.show(w.t)
	}
}

// simLog collects the log lines of all entries. They are printed if the test fails.
type simLog struct {
	onLine    atomic.Pointer[func(line string)] // onLine, if set, is called with each line before the caller goes on.
	mu        sync.Mutex
	startedAt time.Time
	lines     []string
}

// logger returns the logger of an entry, which writes to l.
func (l *simLog) logger(host string) *zap.Logger {
	c := zap.NewProductionEncoderConfig()
	c.TimeKey, c.StacktraceKey = "", ""
	return zap.New(zapcore.NewCore(zapcore.NewConsoleEncoder(c), l, zapcore.InfoLevel)).Named(host)
}

// Write implements io.Writer.
func (l *simLog) Write(line []byte) (int, error) {
	if f := l.onLine.Load(); f != nil {
		(*f)(string(line))
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lines = append(l.lines, fmt.Sprintf("%8.3f %s", time.Since(l.startedAt).Seconds(), line))
	return len(line), nil
}

// note adds a line about the simulation itself, such as a fault that is injected.
func (l *simLog) note(format string, args ...any) {
	_, _ = fmt.Fprintf(l, format, args...) // Write never fails.
}

// Sync implements zapcore.WriteSyncer.
func (l *simLog) Sync() error { return nil }

// count returns the number of lines that contain text.
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

// reportViolation records that an invariant was violated. The world's mutex is held.
func (w *world) reportViolation(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf(format, args...))
}

// canReach reports whether one failure domain reaches another. The store is in domain "".
func (w *world) canReach(from, to string) bool {
	return from == to || !w.partitioned[from] && !w.partitioned[to]
}

// noteLinks notifies the running entries that links may have been established.
func (w *world) noteLinks() {
	w.mu.Lock()
	nodes := slices.Collect(maps.Values(w.liveNodes()))
	w.mu.Unlock()
	for _, n := range nodes {
		n.LinkChanged()
	}
}

// liveNodes returns the running entry processes by name. The world's mutex is held.
func (w *world) liveNodes() map[string]*Node {
	out := make(map[string]*Node)
	for _, n := range w.nodes {
		if n.node != nil {
			out[n.node.Name] = n.node
		}
	}
	return out
}

// submit submits a job with the given phases to random entries until one accepts it.
func (w *world) submit(id string, phases ...winch.Phase) {
	w.submitJob(&winch.PhasedJob{ID: id, Queue: "preview", Team: "choir", Command: "work", Phases: phases})
}

// submitJob submits a job to random entries until one accepts it.
func (w *world) submitJob(job *winch.PhasedJob) {
	for w.ctx.Err() == nil {
		w.mu.Lock()
		names := slices.Sorted(maps.Keys(w.liveNodes()))
		var n *Node
		if len(names) > 0 {
			n = w.liveNodes()[names[w.intn(len(names))]]
		}
		w.mu.Unlock()
		if n != nil && n.Config() != nil {
			attempt := *job // The entry of an earlier attempt may still work on its own copy.
			attempt.Accepted = time.Now()
			ctx, cancel := context.WithTimeout(w.ctx, 2*time.Second)
			result := n.Submit(ctx, &attempt)
			cancel()
			if result.OK() {
				return
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// await polls the entries until a job has ended, and returns its final state. It reports a violation
// if the job has not ended within limit.
func (w *world) await(id string, limit time.Duration) winch.JobState {
	deadline := time.Now().Add(limit)
	for time.Now().Before(deadline) {
		w.mu.Lock()
		live := slices.Collect(maps.Values(w.liveNodes()))
		w.mu.Unlock()
		for _, n := range live {
			if state, result := n.State(w.ctx, id); result.OK() && state.Final() {
				return state
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	w.mu.Lock()
	w.reportViolation("job %s has not ended after %v", id, limit)
	w.mu.Unlock()
	return ""
}

// planner returns the entry that holds the office (the planner's leadership lease in the store), or
// nil if none does.
func (w *world) planner() *simNode {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, n := range w.nodes {
		if n.node != nil {
			if l := n.node.leadership.Load(); l != nil && l.validity.Load().remaining() > 0 {
				return n
			}
		}
	}
	return nil
}

// partition separates a failure domain from the store and the other domains, or ends that.
func (w *world) partition(domain string, on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.partitioned[domain] = on
}
