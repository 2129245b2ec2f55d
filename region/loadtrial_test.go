package region

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"plantainwinch/coord/admit"
	"plantainwinch/proto"
	"plantainwinch/winch"
)

// loadTrial submits jobs to the entries of a world and records what becomes of them.
type loadTrial struct {
	world *world
	mu    sync.Mutex
	// accepted holds when each accepted job was first sent.
	accepted         map[string]time.Time
	refused, unknown int
	retryAfter       map[time.Duration]int
	submitted        int
}

func newLoadTrial(w *world) *loadTrial {
	return &loadTrial{world: w, accepted: make(map[string]time.Time), retryAfter: make(map[time.Duration]int)}
}

// Jobs of the trial have four tasks of 0.4 s. Nine workers with four slots can do 22 of them per second.
const (
	loadCapacity  = 22
	loadObjective = 850 * time.Millisecond
)

// submit submits a job to a live entry in turn.
func (x *loadTrial) submit() {
	w := x.world
	w.mu.Lock()
	live := w.liveNodes()
	names := slices.Sorted(maps.Keys(live))
	x.submitted++
	n := live[names[x.submitted%len(names)]]
	id := fmt.Sprintf("%016x", 1<<20+x.submitted)
	w.mu.Unlock()
	w.group.Go(func() {
		sent := time.Now()
		result := n.Submit(w.ctx, &winch.PhasedJob{
			ID: id, Queue: "preview", Team: "choir", Command: "work", Accepted: sent, Phases: []winch.Phase{simPhase(4)},
		})
		x.mu.Lock()
		defer x.mu.Unlock()
		switch {
		case result.OK():
			x.accepted[id] = sent
		case result.Reason == winch.Overloaded:
			x.refused++
			x.retryAfter[result.RetryAfter]++
		default:
			x.unknown++
		}
	})
}

// play submits jobs at a rate for a time.
func (x *loadTrial) play(perSecond int, length time.Duration) {
	for end := time.Now().Add(length); time.Now().Before(end); {
		x.submit()
		time.Sleep(time.Second / time.Duration(perSecond))
	}
}

// counts returns the jobs accepted and refused so far.
func (x *loadTrial) counts() (accepted, refused int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return len(x.accepted), x.refused
}

// loadOutcome counts the accepted jobs that ended within the objective and after three objectives.
type loadOutcome struct {
	accepted, refused, onTime, abandoned int
	slowest                              time.Duration
}

// outcome waits until all accepted jobs have ended, by the records of their ends in the store.
func (x *loadTrial) outcome(limit time.Duration) (out loadOutcome) {
	x.mu.Lock()
	accepted := maps.Clone(x.accepted)
	out.accepted, out.refused = len(accepted), x.refused
	x.mu.Unlock()
	deadline := time.Now().Add(limit)
	for id, sent := range accepted {
		for {
			if s, ended, err := x.world.anyNode().readJob(x.world.ctx, id); err == nil {
				var at time.Time
				switch {
				case ended != nil:
					at = ended.At
				case s.progress != nil && s.progress.State.Final():
					at = s.progress.Ended
				}
				if !at.IsZero() {
					out.add(at.Sub(sent))
					break
				}
			}
			if time.Now().After(deadline) {
				x.world.t.Error("job not ended", id)
				return out
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return out
}

func (o *loadOutcome) add(took time.Duration) {
	o.slowest = max(o.slowest, took)
	if took <= loadObjective+50*time.Millisecond { // The poll of the store adds some time.
		o.onTime++
	}
	if took > winch.LateFactor*loadObjective {
		o.abandoned++
	}
}

func (w *world) anyNode() *Node {
	w.mu.Lock()
	defer w.mu.Unlock()
	live := w.liveNodes()
	return live[slices.Sorted(maps.Keys(live))[0]]
}

// forceAdmission makes all entries refuse all new jobs for some seconds, by the state of a later planner.
func (w *world) forceAdmission(sequence uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, n := range w.liveNodes() {
		n.updateAdmission(proto.EncodeAdmission(admit.State{Term: 1000, Sequence: sequence, Entries: 6, Queues: []admit.QueueState{
			{Queue: admit.Hash("preview"), Wait: time.Minute, Debt: time.Minute, ExcessDebt: time.Minute, Milli: 36_000, Stretch: 1, PerSecond: 40, Refusing: true},
		}}))
	}
}

func (w *world) counter(name string) (sum int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, n := range w.liveNodes() {
		sum += metrics.GetOrRegisterCounter(name, n.Metrics).Count()
	}
	return sum
}

// withoutAdmission restarts the entries with the mechanism switched off.
func (w *world) withoutAdmission() {
	policy, _ := winch.DefaultPolicy().Without("Admit")
	w.mu.Lock()
	w.policy = policy
	w.mu.Unlock()
	for _, n := range w.nodes {
		n.kill()
		n.start()
	}
}
