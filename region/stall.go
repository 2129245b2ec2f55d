package region

import (
	"context"
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"plantainwinch/coord/fleet"
	"plantainwinch/duty"
)

const (
	// stallCheckInterval is how often the planner is checked for stalled work.
	sightEvery = time.Second
	// minStallTime is how long a lasting task has to wait, or a worker with runs has to be
	// unresponsive, before it is logged: an ordinary start takes less.
	sightAge = time.Second
	// stallRepeatInterval is how often a line is repeated while nothing changes.
	sightAgain = 5 * time.Second
	// maxStallLines bounds the log lines of one check.
	sightLines = 20
)

// stallSnapshot holds what is stalled, read in one step of the planner.
type sight struct {
	waits   []fleet.Wait
	charged []fleet.Charged
	// workers holds the state of the workers that the snapshot names.
	workers map[string]place
	decided time.Time
	closed  bool
}

// workerState describes a worker from the view of this planner.
type place struct {
	keeper string
	// missing says that its record has disappeared from the list and may still come back.
	missing bool
}

// snapshotStalls returns which lasting tasks wait and which workers with runs are unresponsive.
func (l *lead) look() sight {
	snapshot := sight{
		waits: l.planner.Waits(sightAge), charged: l.planner.Unheard(sightAge),
		workers: make(map[string]place), decided: l.decided, closed: l.closed,
	}
	for _, w := range snapshot.waits {
		snapshot.workers[w.Sign.Worker] = l.placeOf(w.Sign.Worker)
	}
	for _, c := range snapshot.charged {
		snapshot.workers[c.Sign.Worker] = l.placeOf(c.Sign.Worker)
	}
	return snapshot
}

func (l *lead) placeOf(worker string) place {
	_, missing := l.missing[worker]
	return place{keeper: l.keepers[worker], missing: missing}
}

// stallMonitor logs stalled work: one line when it is new or its cause has changed, and a repetition
// at intervals.
type sighter struct {
	log  *zap.Logger
	term uint64
	told map[string]tale
	now  time.Time
	// linesLeft is how many more lines this check may write.
	left int
	// omitted counts the lines beyond that bound.
	out int
}

// stallReport is what was last logged of stalled work.
type tale struct {
	cause string
	at    time.Time
	seen  time.Time
	// endFields identify the work in the line that logs that the stall is over.
	end []zap.Field
}

// updateStallGauges sets the metrics that show the worst of a snapshot. They are zero while nothing is
// stalled for longer than minStallTime and while this entry is not planner.
func (n *Node) gauge(snapshot sight) {
	longest, runs := time.Duration(0), 0
	if len(snapshot.waits) > 0 {
		longest = time.Since(snapshot.waits[0].Since)
	}
	for _, c := range snapshot.charged {
		runs += c.Runs
	}
	metrics.GetOrRegisterGauge("Planner.LastingWait.Milliseconds", n.Metrics).Update(longest.Milliseconds())
	metrics.GetOrRegisterGauge("Planner.RunsNotHeard", n.Metrics).Update(int64(runs))
}

// runStallMonitor checks for stalled work periodically while this entry is planner.
func (l *lead) runSight(ctx context.Context) {
	defer l.node.gauge(sight{})
	monitor := sighter{log: l.node.Log, term: l.term, told: make(map[string]tale)}
	for ctx.Err() == nil {
		var snapshot sight
		if l.duty.Do(ctx, func() { snapshot = l.look() }) != nil {
			return
		}
		monitor.take(snapshot, l.valid.Load().left())
		l.node.gauge(snapshot)
		duty.Pause(ctx, sightEvery)
	}
}

// report logs one snapshot.
func (m *sighter) take(snapshot sight, officeLeft time.Duration) {
	m.now, m.left, m.out = time.Now(), sightLines, 0
	for _, w := range snapshot.waits {
		m.wait(w, snapshot, officeLeft)
	}
	for _, c := range snapshot.charged {
		fields := append(signFields(c.Sign, snapshot.workers[c.Sign.Worker], m.now), zap.Int("runs", c.Runs),
			zap.Uint64("term", m.term))
		m.tell("worker "+c.Sign.Worker, "worker with runs is unresponsive", signCause(c.Sign), fields,
			[]zap.Field{zap.String("worker", c.Sign.Worker)})
	}
	m.settle()
	if m.out > 0 {
		m.log.Info("stall reports omitted", zap.Int("lines", m.out), zap.Int("tasks", len(snapshot.waits)),
			zap.Int("workers", len(snapshot.charged)))
	}
}

// reportTask logs a lasting task that waits.
func (m *sighter) wait(w fleet.Wait, snapshot sight, officeLeft time.Duration) {
	id := w.Task
	taskFields := []zap.Field{zap.String("job", id.Job), zap.Int("phase", id.Phase), zap.Int("index", id.Index)}
	if id.K > 0 {
		taskFields = append(taskFields, zap.Int("k", id.K))
	}
	fields := append(taskFields[:len(taskFields):len(taskFields)], zap.Stringer("reason", w.Reason),
		zap.Duration("waited", m.now.Sub(w.Since)), zap.Uint64("term", m.term),
		zap.Duration("decided", age(snapshot.decided, m.now)), zap.Duration("office", officeLeft),
		zap.Bool("closed", snapshot.closed))
	if w.Sign.Worker != "" {
		fields = append(fields, signFields(w.Sign, snapshot.workers[w.Sign.Worker], m.now)...)
	}
	key := id.Job + "." + strconv.Itoa(id.K) + "." + strconv.Itoa(id.Phase) + "." + strconv.Itoa(id.Index)
	cause := w.Reason.String() + strconv.FormatUint(w.Run, 10) + signCause(w.Sign)
	m.tell(key, "lasting task waits", cause, append(fields, waitFields(w, m.now)...), taskFields)
}

// waitFields returns the log fields that explain why a task waits, depending on the reason.
func waitFields(w fleet.Wait, now time.Time) []zap.Field {
	switch w.Reason {
	case fleet.WaitRun, fleet.WaitStart:
		return []zap.Field{
			zap.Uint64("run", w.Run), zap.Bool("stopping", w.Stopping),
			zap.Duration("ordered", age(w.Ordered, now)),
		}
	case fleet.WaitAdopting:
		return []zap.Field{
			zap.Int("unheard", w.Unheard), zap.Duration("until", w.Until.Sub(now)),
			zap.Uint64("revision", w.Revision), zap.Uint64("fresh", w.Fresh),
		}
	case fleet.WaitLimit:
		return []zap.Field{zap.Any("used", w.Used), zap.Any("limit", w.Limit), zap.Any("doubtful", w.Doubtful)}
	case fleet.WaitQueue, fleet.WaitOffice, fleet.WaitProbe:
		return nil
	}
	return []zap.Field{zap.Any("offer", w.Offer), zap.Duration("asked", age(w.Asked, now))}
}

// signFields returns the log fields that describe a worker's contact with the planner.
func signFields(sign fleet.Sign, state place, now time.Time) []zap.Field {
	return []zap.Field{
		zap.String("worker", sign.Worker), zap.String("keeper", state.keeper), zap.Bool("listed", sign.Listed),
		zap.Bool("missing", state.missing),
		zap.Bool("ready", sign.Ready), zap.Bool("quiet", sign.Quiet), zap.Duration("silent", age(sign.Silent, now)),
	}
}

func signCause(sign fleet.Sign) string {
	return sign.Worker + strconv.FormatBool(sign.Listed) + strconv.FormatBool(sign.Ready) + strconv.FormatBool(sign.Quiet)
}

// age returns how long ago a time was, or zero for the zero time.
func age(at, now time.Time) time.Duration {
	if at.IsZero() {
		return 0
	}
	return now.Sub(at)
}

// logLine writes a line if it is new or due for repetition, within the bound.
func (m *sighter) tell(key, msg, cause string, fields, endFields []zap.Field) {
	last, known := m.told[key]
	due := !known || last.cause != cause || m.now.Sub(last.at) >= sightAgain
	switch {
	case !due:
		last.seen = m.now
		m.told[key] = last
	case m.left == 0:
		m.out++
		if known {
			last.seen = m.now
			m.told[key] = last
		}
	default:
		m.left--
		m.told[key] = tale{cause, m.now, m.now, endFields}
		m.log.Info(msg, fields...)
	}
}

// reportEnded logs the end of stalls that were reported and are no longer in the snapshot.
func (m *sighter) settle() {
	for key, report := range m.told {
		if report.seen.Equal(m.now) {
			continue
		}
		delete(m.told, key)
		if m.left == 0 {
			m.out++
			continue
		}
		m.left--
		m.log.Info("stall ended", report.end...)
	}
}
