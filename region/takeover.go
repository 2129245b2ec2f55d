package region

import (
	"context"
	"time"

	"github.com/sourcegraph/conc/pool"
	"go.uber.org/zap"

	"plantainwinch/duty"
	"plantainwinch/proto"
	"plantainwinch/winch"
)

// load reads the records that earlier planners left, and retries until that succeeds or ctx ends.
func (l *leadership) load(ctx context.Context) bool {
	for ctx.Err() == nil {
		err := l.readAll(ctx)
		if err == nil {
			return true
		}
		l.node.Log.Info("reading the region's records failed; retrying", zap.Error(err))
		duty.Sleep(ctx, retryDelay)
	}
	return false
}

// readAll reads the roster, the jobs that have not ended and the evacuated failure domains,
// concurrently: a slow store takes a third of a second for each response, and nothing is started before
// all are read.
func (l *leadership) readAll(ctx context.Context) error {
	if l.prefetched == nil {
		l.prefetched = &prefetched{}
	}
	// A failed attempt keeps what it has read for the next one.
	jobs, progress := &l.prefetched.jobs, &l.prefetched.progress
	var rosters []winch.Value
	var rosterAsOf, evacuationsAsOf uint64
	group := pool.New().WithErrors()
	group.Go(func() error {
		prefix := l.node.Codec.EvacuationPrefix()
		values, asOf, err := readSince(ctx, l.node.Table, prefix, l.revision)
		if err == nil {
			l.node.applyEvacuations(readEvacuations(prefix, values, asOf), "store")
		}
		evacuationsAsOf = asOf
		return err
	})
	group.Go(func() (err error) {
		rosters, rosterAsOf, err = readSince(ctx, l.node.Table, keyRoster, l.revision)
		return err
	})
	group.Go(func() error { return jobs.catchUp(ctx, l.node.Table, prefixJobs, l.revision) })
	group.Go(func() error { return progress.catchUp(ctx, l.node.Table, prefixProgress, l.revision) })
	if err := group.Wait(); err != nil {
		return err
	}
	// These were read after the copying had ended, when the jobs of all copied runs were stored.
	if stored := min(rosterAsOf, evacuationsAsOf); jobs.revision < stored && l.copiesUnknownJob(jobs) {
		if err := jobs.catchUp(ctx, l.node.Table, prefixJobs, stored); err != nil {
			return err
		}
	}
	for _, v := range l.rosterStore.note(rosters) {
		if err := l.loadRoster(v); err != nil {
			return err
		}
	}
	l.jobsRevision = jobs.revision
	l.orphans = l.addJobs(append(jobs.list(), progress.list()...))
	l.prefetched = nil
	l.planner.SetEvacuated(l.node.evacuations.load().Domains)
	l.node.Log.Info("jobs read from the store", zap.Int("jobs", len(jobs.values)),
		zap.Int("progress", len(progress.values)), zap.Int("orphans", len(l.orphans)))
	l.applyInherited()
	return nil
}

// copiesUnknownJob reports whether a run that this entry knew as standby belongs to a job that the copy lacks: the job
// has ended, or its record is yet to be read.
func (l *leadership) copiesUnknownJob(jobs *prefixCopy) bool {
	for _, runs := range l.copiedRuns {
		for _, r := range runs {
			if _, known := jobs.values[keyJob(r.Task.Job)]; !known {
				return true
			}
		}
	}
	return false
}

// loadRoster applies a part of the roster that the earlier planner left.
func (l *leadership) loadRoster(v winch.Value) error {
	var r roster
	if err := decode(v.Data, &r); err != nil {
		return err
	}
	var ids []string
	for _, w := range r.list() {
		w.Revision = v.Version
		if w.LeftTerm+1 != l.term {
			w.Left = 0 // A planner in between may have renewed leases without changing the record.
		}
		w.Left = l.stillLeft(w)
		l.previousRoster[w.VM.ID] = w
		l.roster[w.VM.ID] = w
		l.desired[w.VM.ID] = rosteredWorker{
			VM: w.VM, Keeper: w.Keeper, Address: w.Address, Earlier: w.Earlier,
			Generation: w.Generation, Bound: w.Bound, NextBoot: w.NextBoot, Used: true,
		}
		if w.Settled {
			l.maybeSettled[w.VM.ID] = true
		}
		if w.Bound != 0 {
			l.maybeBound[w.VM.ID] = true
		}
		ids = append(ids, w.VM.ID)
	}
	l.planner.SetRoster(ids)
	l.planner.Barrier = l.startedAt.Add(barrier())
	if left, all := l.handedOverLeft(); all {
		l.planner.Barrier = l.startedAt.Add(left)
	}
	return nil
}

// minLeft is the least time that a recorded lease counts as running: zero stands for none recorded.
const minLeft = time.Millisecond

// stillLeft returns how much of the time that the last planner recorded for a worker is left at the beginning of this term. Of
// the time since then at least as much has passed as its term has lasted by now, less what it had lasted when the record was made.
func (l *leadership) stillLeft(w rosteredWorker) time.Duration {
	began, seen := l.node.cell.termSeen(w.LeftTerm)
	if w.Left == 0 || w.LeftAge == 0 || !seen {
		return w.Left
	}
	age := l.startedAt.Sub(began)
	passed := age - time.Duration(maxClockDrift*float64(age)) - w.LeftAge
	return max(minLeft, w.Left-max(0, passed))
}

// maxAge returns the longest time that this term can have lasted, on the clock of any entry.
func (l *leadership) maxAge() time.Duration {
	now := time.Now()
	age := max(now.Sub(l.requestedAt), now.Round(0).Sub(l.requestedAt.Round(0))) // Either clock may have stood still or been set.
	return age + time.Duration(maxClockDrift*float64(age))
}

// handedOverLeft returns how long work may still run at the workers whose runs the previous planner did
// not record when it handed the office over. It reports false if there are none, or if the roster lacks
// that time for one of them.
func (l *leadership) handedOverLeft() (time.Duration, bool) {
	left := time.Duration(0)
	for _, w := range l.previousRoster {
		if w.Settled {
			continue
		}
		if w.Left == 0 {
			return 0, false
		}
		left = max(left, w.Left)
	}
	return left, left > 0
}

// findAdoptedRevision determines the revision after which no earlier planner can have started an accepted
// job. An earlier planner whose lease the store has ended may assume for a whole lease duration more that
// it holds the office, unless its process is known to have ended.
func (l *leadership) findAdoptedRevision(ctx context.Context) {
	for end := time.Now().Add(officeTTL); time.Now().Before(end) && ctx.Err() == nil; duty.Sleep(ctx, processEndPollInterval) {
		if l.earlierPlannersEnded() {
			break
		}
	}
	for ctx.Err() == nil {
		_, asOf, err := readSince(ctx, l.node.Table, keyTerm, l.jobsRevision)
		if err == nil {
			l.post(func() {
				l.planner.AdoptedRevision = asOf
				l.decideSoon()
			})
			return
		}
		duty.Sleep(ctx, retryDelay)
	}
}

// earlierPlannersEnded reports whether the last planner's process is known to have ended, and its term had begun so long ago
// that no planner before it can assume to hold the office.
func (l *leadership) earlierPlannersEnded() bool {
	_, ended := l.node.cell.endedBy(l.lastHolder)
	began, seen := l.node.cell.termSeen(l.term - 1)
	return ended && l.lastHolder != "" && seen && time.Since(began) > officeTTL
}

// applyInherited applies what is known of the workers of the earlier planner, because this entry was its
// standby or because the earlier planner recorded in the roster what may run there.
func (l *leadership) applyInherited() {
	l.inheritExpiries()
	l.planner.SetRemoved(l.earlierWorkers())
	for id, w := range l.previousRoster {
		if w.NextBoot {
			l.planner.SetNextBoot(id)
		}
		if w.Settled || w.Bound != 0 {
			l.planner.SetUnresponsive(id) // Nothing may start there until the record is changed.
		}
		if l.copiedRuns != nil {
			w.Settled, w.Runs = true, l.copiedRuns[id]
		}
		if w.Settled {
			l.planner.HandleEvent(proto.KeeperEvent{Kind: proto.EventKnownRuns, Worker: id, Running: w.Runs})
		}
	}
}

// earlierWorkers returns the workers that the previous planner used.
func (l *leadership) earlierWorkers() []winch.WorkerVM {
	out := make([]winch.WorkerVM, 0, len(l.previousRoster))
	for _, w := range l.previousRoster {
		out = append(out, w.VM)
	}
	return out
}
