package region

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"plantainwinch/coord/fleet"
	"plantainwinch/duty"
	"plantainwinch/proto"
)

const (
	// maxConfirmDelay bounds how long a report waits for the confirmation of the configuration that it passes on.
	maxConfirmDelay = 350 * time.Millisecond
	// minReportPause is the pause after a report that took longer than waitingInterval.
	minReportPause = 50 * time.Millisecond
)

// runWaiting periodically sends all entries the number of jobs that have not begun, by queue, and as of when this
// entry was shown that its configuration is the newest.
func (l *leadership) runWaiting(ctx context.Context) {
	unlisted := make(map[string]time.Time)
	for ctx.Err() == nil {
		next := time.Now().Add(waitingInterval)
		l.confirmSettings(ctx)
		var msg proto.WaitingJobs
		if l.duty.Do(ctx, func() { msg = l.report() }) == nil && l.validity.Load().remaining() > 0 {
			l.node.updateWaiting(msg)
			names := l.node.Peers.Names()
			for _, name := range names {
				// A peer that gets no message reports the number as unknown.
				_ = l.node.Peers.Notify(name, proto.KindWaitingJobs, msg)
			}
			l.notifyUnregistered(names, unlisted)
		}
		duty.Sleep(ctx, max(time.Until(next), minReportPause))
	}
}

// report returns a report to all entries. It is called in the planner's goroutine.
func (l *leadership) report() proto.WaitingJobs {
	s := &l.node.settings
	asOf, age := s.calls.asOf.Load(), s.confirmAge()
	return proto.WaitingJobs{
		SettingsAsOf: asOf,
		Term:         l.term, Queues: l.planner.Waiting(), Settings: s.version(), SettingsAge: age,
		SettingsKnown: s.witness.known(s.version()),
		SentAt:        l.node.uptime(), Evacuations: l.node.knownEvacuations(), Standby: l.standbyAddress(),
	}
}

// confirmSettings asks the store what the operator has written if the entries would otherwise have to ask by themselves
// before the report after the next one. It waits for the store for a limited time; a later answer counts for
// the next report.
func (l *leadership) confirmSettings(ctx context.Context) {
	s := &l.node.settings
	if s.age() < l.node.Timing.refreshAge()-2*waitingInterval || !l.node.storeResponsive() {
		return
	}
	before := s.confirmed.Load()
	duty.Signal(s.calls.wanted)
	s.await(ctx, maxConfirmDelay, func() bool { return s.confirmed.Load() != before })
}

// linkBytes returns the number of bytes transferred over this entry's links by message kind.
func (n *Node) linkBytes() map[string]int64 {
	out := make(map[string]int64)
	n.Metrics.Each(func(name string, x any) {
		if kind, ok := strings.CutPrefix(name, "Peer."); ok {
			if c, ok := x.(metrics.Counter); ok {
				out[kind] = c.Count()
			}
		}
	})
	return out
}

// runLoad periodically logs the region's capacity and use.
func (l *leadership) runLoad(ctx context.Context) {
	defer l.node.updateShareGauges(fleet.ShareLoad{Worst: 1})
	for ctx.Err() == nil {
		var load fleet.Load
		var requests int
		if l.duty.Do(ctx, func() { load, requests = l.planner.Load(), l.lanes.Waiting() }) != nil {
			return
		}
		l.node.Log.Info("load", zap.Int64("milli", load.Room.Milli), zap.Int64("used", load.Used.Milli),
			zap.Int64("stopping", load.Stopping.Milli),
			zap.Int64("memory", int64(load.Room.Memory>>20)), zap.Int64("memoryUsed", int64(load.Used.Memory>>20)),
			zap.Int("workers", load.Workers), zap.Int("usable", load.Usable), zap.Int("running", load.Running),
			zap.Any("waiting", load.Waiting), zap.Any("reasons", load.Reasons), zap.Int("capped", load.Capped), zap.Any("reserved", load.Reserved),
			zap.Int64("filling", load.Filling), zap.Int("asks", requests), shareFields(load.Shares),
			zap.Any("bytes", l.node.linkBytes()))
		l.node.updateShareGauges(load.Shares)
		duty.Sleep(ctx, loadInterval)
	}
}

// logCompletions logs for each job that has ended what its time was spent on, and wakes the requests
// that wait for its end.
func (l *leadership) logCompletions() {
	l.dropWaiters()
	for _, e := range l.planner.JobSummaries() {
		l.notifyWaiters(e.Job)
		waited := make(map[string]float64, len(e.Waited))
		for reason, d := range e.Waited {
			waited[reason.String()] = d.Seconds()
		}
		l.node.Log.Info("job ended", zap.String("job", e.Job), zap.String("queue", e.Queue), zap.String("team", e.Team),
			zap.String("state", string(e.State)), zap.Duration("took", e.Took), zap.Duration("objective", e.Objective),
			zap.Any("waited", waited), zap.Int("unanswered", e.FailedStarts), zap.Int("failed", e.Failed),
			zap.Int("crashes", len(e.Crashes)), zap.Int("copies", e.Copies), zap.Bool("excess", e.Excess))
	}
}

// logAnomalies logs the unusual completions and counts them by kind. A task that was started again although it had
// completed is an error: its work was done twice.
func (l *leadership) logAnomalies() {
	for _, a := range l.planner.Anomalies() {
		name, log := "Planner.Completions.Overtaken", l.node.Log.Info
		switch a.Kind {
		case fleet.AnomalyUnknownJob:
			name = "Planner.Completions.UnknownJob"
		case fleet.AnomalyStartedAgain:
			name, log = "Planner.Completions.StartedAgain", l.node.Log.Error
		}
		metrics.GetOrRegisterCounter(name, l.node.Metrics).Inc(1)
		x := a.Completion
		log("unusual completion", zap.String("reason", string(a.Kind)), zap.String("job", x.Task.Job), zap.Int("k", x.Task.K),
			zap.Int("phase", x.Task.Phase), zap.Int("index", x.Task.Index), zap.Uint64("run", x.Run), zap.Uint64("number", x.Number),
			zap.String("worker", a.Worker), zap.Uint64("latestRun", a.LatestRun), previousRun(a.Previous))
	}
}

// previousRun returns the log field that describes the end of an earlier run of a task.
func previousRun(e fleet.RunEnd) zap.Field {
	if e.Run == 0 {
		return zap.Skip()
	}
	return zap.Dict("previous", zap.Uint64("run", e.Run), zap.String("worker", e.Worker), zap.String("end", e.How))
}

// maxLossRuns bounds the runs that are named in the log line of a lost worker: the most recent starts,
// one of which may have been the cause.
const maxLossRuns = 8

// maxEarlierWorkers bounds the workers that are named in the log line of earlier work that has become known.
const maxEarlierWorkers = 20

// logEarlier logs how it became known what work of earlier planners runs at workers.
func (l *leadership) logEarlier() {
	for how, workers := range l.planner.EarlierKnown() {
		l.node.Log.Info("earlier work at workers became known", zap.String("by", how), zap.Int("count", len(workers)),
			zap.Strings("workers", workers[:min(maxEarlierWorkers, len(workers))]))
	}
}

// logStrays logs and counts the runs that were reported at replaced boots. They end after a while; each one keeps its task
// from starting until then.
func (l *leadership) logStrays() {
	for _, x := range l.planner.Strays() {
		metrics.GetOrRegisterCounter("Planner.Runs.Stray", l.node.Metrics).Inc(1)
		l.node.Log.Error("run reported at a replaced boot of a worker", zap.String("by", x.How), zap.String("job", x.Task.Job), zap.Int("k", x.Task.K),
			zap.Int("phase", x.Task.Phase), zap.Int("index", x.Task.Index), zap.Uint64("run", x.Run), zap.String("worker", x.Worker))
	}
}

// logLosses logs which runs ended with a worker. A task that crashes its workers is among the first in
// the lines of all of them. The records of such workers may list the runs, so they are computed again.
func (l *leadership) logLosses() {
	for _, x := range l.planner.Losses() {
		l.reassignSoon()
		var runs []string
		for _, r := range x.Runs[:min(maxLossRuns, len(x.Runs))] {
			runs = append(runs, fmt.Sprintf("%s.%d.%d.%d/%d lived %v confirmed %t", r.Task.Job, r.Task.K,
				r.Task.Phase, r.Task.Index, r.Run, r.Age, r.Confirmed))
		}
		l.node.Log.Info("runs lost with their worker", zap.String("worker", x.Worker),
			zap.Bool("crashed", x.Crashed), zap.Int("count", len(x.Runs)), zap.Strings("runs", runs))
	}
	for _, b := range l.planner.CountedCrashes() {
		l.node.Log.Info("crash counted", zap.String("job", b.Task.Job), zap.Int("phase", b.Task.Phase),
			zap.Int("index", b.Task.Index),
			zap.Uint64("run", b.Run), zap.String("worker", b.Worker), zap.Duration("lived", b.Age),
			zap.Bool("weak", b.Weak),
			zap.Bool("probe", b.Probe), zap.Int("crashes", b.Crashes), zap.Bool("givenUp", b.GivenUp))
	}
}
