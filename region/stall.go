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
	stallCheckInterval = time.Second
	// minStallTime is how long a lasting task has to wait, or a worker with runs has to be
	// unresponsive, before it is logged: an ordinary start takes less.
	minStallTime = time.Second
	// stallRepeatInterval is how often a line is repeated while nothing changes.
	stallRepeatInterval = 5 * time.Second
	// maxStallLines bounds the log lines of one check.
	maxStallLines = 20
)

// stallSnapshot holds the lasting tasks that wait and the unresponsive workers that runs are charged to,
// as of one moment.
type stallSnapshot struct {
	waiting      []fleet.WaitingTask
	unresponsive []fleet.UnresponsiveWorker
	// workers holds the state of the workers that the snapshot names.
	workers   map[string]workerState
	decidedAt time.Time
	closed    bool
}

// workerState describes a worker from the view of this planner.
type workerState struct {
	keeper string
	// missing says that its record has disappeared from the list and may still come back.
	missing bool
}

// snapshotStalls returns which lasting tasks wait and which workers with runs are unresponsive.
func (l *leadership) snapshotStalls() stallSnapshot {
	snapshot := stallSnapshot{
		waiting: l.planner.WaitingTasks(minStallTime), unresponsive: l.planner.UnresponsiveWorkers(minStallTime),
		workers: make(map[string]workerState), decidedAt: l.decidedAt, closed: l.closed,
	}
	for _, w := range snapshot.waiting {
		snapshot.workers[w.Contact.Worker] = l.workerStateOf(w.Contact.Worker)
	}
	for _, c := range snapshot.unresponsive {
		snapshot.workers[c.Contact.Worker] = l.workerStateOf(c.Contact.Worker)
	}
	return snapshot
}

func (l *leadership) workerStateOf(worker string) workerState {
	_, missing := l.missing[worker]
	return workerState{keeper: l.keepers[worker], missing: missing}
}

// stallMonitor logs stalled work: one line when it is new or its cause has changed, and a repetition
// at intervals.
type stallMonitor struct {
	log      *zap.Logger
	term     uint64
	reported map[string]stallReport
	now      time.Time
	// linesLeft is how many more lines this check may write.
	linesLeft int
	// omitted counts the lines beyond that bound.
	omitted int
}

// stallReport is what was last logged of stalled work.
type stallReport struct {
	cause      string
	reportedAt time.Time
	seenAt     time.Time
	// endFields identify the work in the line that logs that the stall is over.
	endFields []zap.Field
}

// updateStallGauges sets the metrics that show the worst of a snapshot. They are zero while nothing is
// stalled for longer than minStallTime and while this entry is not planner.
func (n *Node) updateStallGauges(snapshot stallSnapshot) {
	longest, runs := time.Duration(0), 0
	if len(snapshot.waiting) > 0 {
		longest = time.Since(snapshot.waiting[0].Since)
	}
	for _, c := range snapshot.unresponsive {
		runs += c.Runs
	}
	metrics.GetOrRegisterGauge("Planner.LastingWait.Milliseconds", n.Metrics).Update(longest.Milliseconds())
	metrics.GetOrRegisterGauge("Planner.RunsNotHeard", n.Metrics).Update(int64(runs))
}

// runStallMonitor checks for stalled work periodically while this entry is planner.
func (l *leadership) runStallMonitor(ctx context.Context) {
	defer l.node.updateStallGauges(stallSnapshot{})
	monitor := stallMonitor{log: l.node.Log, term: l.term, reported: make(map[string]stallReport)}
	for ctx.Err() == nil {
		var snapshot stallSnapshot
		if l.duty.Do(ctx, func() { snapshot = l.snapshotStalls() }) != nil {
			return
		}
		monitor.report(snapshot, l.validity.Load().remaining())
		l.node.updateStallGauges(snapshot)
		duty.Sleep(ctx, stallCheckInterval)
	}
}

// report logs one snapshot.
func (m *stallMonitor) report(snapshot stallSnapshot, officeLeft time.Duration) {
	m.now, m.linesLeft, m.omitted = time.Now(), maxStallLines, 0
	for _, w := range snapshot.waiting {
		m.reportTask(w, snapshot, officeLeft)
	}
	for _, c := range snapshot.unresponsive {
		fields := append(contactFields(c.Contact, snapshot.workers[c.Contact.Worker], m.now), zap.Int("runs", c.Runs),
			zap.Uint64("term", m.term))
		m.logLine("worker "+c.Contact.Worker, "worker with runs is unresponsive", contactCause(c.Contact), fields,
			[]zap.Field{zap.String("worker", c.Contact.Worker)})
	}
	m.reportEnded()
	if m.omitted > 0 {
		m.log.Info("stall reports omitted", zap.Int("lines", m.omitted), zap.Int("tasks", len(snapshot.waiting)),
			zap.Int("workers", len(snapshot.unresponsive)))
	}
}

// reportTask logs a lasting task that waits.
func (m *stallMonitor) reportTask(w fleet.WaitingTask, snapshot stallSnapshot, officeLeft time.Duration) {
	id := w.Task
	taskFields := []zap.Field{zap.String("job", id.Job), zap.Int("phase", id.Phase), zap.Int("index", id.Index)}
	if id.K > 0 {
		taskFields = append(taskFields, zap.Int("k", id.K))
	}
	fields := append(taskFields[:len(taskFields):len(taskFields)], zap.Stringer("reason", w.Reason),
		zap.Duration("waited", m.now.Sub(w.Since)), zap.Uint64("term", m.term),
		zap.Duration("decided", age(snapshot.decidedAt, m.now)), zap.Duration("office", officeLeft),
		zap.Bool("closed", snapshot.closed))
	if w.Contact.Worker != "" {
		fields = append(fields, contactFields(w.Contact, snapshot.workers[w.Contact.Worker], m.now)...)
	}
	key := id.Job + "." + strconv.Itoa(id.K) + "." + strconv.Itoa(id.Phase) + "." + strconv.Itoa(id.Index)
	cause := w.Reason.String() + strconv.FormatUint(w.Run, 10) + contactCause(w.Contact)
	m.logLine(key, "lasting task waits", cause, append(fields, waitFields(w, m.now)...), taskFields)
}

// waitFields returns the log fields that explain why a task waits, depending on the reason.
func waitFields(w fleet.WaitingTask, now time.Time) []zap.Field {
	switch w.Reason {
	case fleet.WaitRun, fleet.WaitStart:
		return []zap.Field{
			zap.Uint64("run", w.Run), zap.Bool("stopping", w.Stopping),
			zap.Duration("ordered", age(w.Ordered, now)),
		}
	case fleet.WaitAdopting:
		return []zap.Field{
			zap.Int("unheard", w.Unreported), zap.Duration("until", w.Until.Sub(now)),
			zap.Uint64("revision", w.Revision), zap.Uint64("fresh", w.AdoptedRevision),
		}
	case fleet.WaitLimit:
		return []zap.Field{zap.Any("used", w.Used), zap.Any("limit", w.Limit), zap.Any("doubtful", w.UsedAtUnresponsive)}
	case fleet.WaitQueue, fleet.WaitOffice, fleet.WaitProbe:
		return nil
	}
	return []zap.Field{zap.Any("offer", w.Offer), zap.Duration("asked", age(w.AdviceRequested, now))}
}

// contactFields returns the log fields that describe a worker's contact with the planner.
func contactFields(contact fleet.WorkerContact, state workerState, now time.Time) []zap.Field {
	return []zap.Field{
		zap.String("worker", contact.Worker), zap.String("keeper", state.keeper), zap.Bool("listed", contact.Listed),
		zap.Bool("missing", state.missing),
		zap.Bool("ready", contact.Ready), zap.Bool("quiet", contact.NoResponse), zap.Duration("silent", age(contact.UnresponsiveSince, now)),
	}
}

func contactCause(contact fleet.WorkerContact) string {
	return contact.Worker + strconv.FormatBool(contact.Listed) + strconv.FormatBool(contact.Ready) + strconv.FormatBool(contact.NoResponse)
}

// age returns how long ago a time was, or zero for the zero time.
func age(at, now time.Time) time.Duration {
	if at.IsZero() {
		return 0
	}
	return now.Sub(at)
}

// logLine writes a line if it is new or due for repetition, within the bound.
func (m *stallMonitor) logLine(key, msg, cause string, fields, endFields []zap.Field) {
	last, known := m.reported[key]
	due := !known || last.cause != cause || m.now.Sub(last.reportedAt) >= stallRepeatInterval
	switch {
	case !due:
		last.seenAt = m.now
		m.reported[key] = last
	case m.linesLeft == 0:
		m.omitted++
		if known {
			last.seenAt = m.now
			m.reported[key] = last
		}
	default:
		m.linesLeft--
		m.reported[key] = stallReport{cause, m.now, m.now, endFields}
		m.log.Info(msg, fields...)
	}
}

// reportEnded logs the end of stalls that were reported and are no longer in the snapshot.
func (m *stallMonitor) reportEnded() {
	for key, report := range m.reported {
		if report.seenAt.Equal(m.now) {
			continue
		}
		delete(m.reported, key)
		if m.linesLeft == 0 {
			m.omitted++
			continue
		}
		m.linesLeft--
		m.log.Info("stall ended", report.endFields...)
	}
}
