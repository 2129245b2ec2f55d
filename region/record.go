package region

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"plantainwinch/coord/fleet"
	"plantainwinch/duty"
	"plantainwinch/winch"
)

const (
	// commitDelay is the pause before a transaction that no caller waits for. The transaction
	// carries all changes made meanwhile.
	commitDelay = 100 * time.Millisecond
	// concurrentCommits is how many transactions may be outstanding at once. While the store
	// is slow, a completion that follows a sent transaction need not wait for its response.
	concurrentCommits = 4
	// maxCommitCost is how many operations a transaction has left beside the condition on the
	// office. A progress record takes a condition and a write; the record of an ended job takes
	// a write and the removal of all keys of the job or, while runs remain, a write and a
	// progress record.
	maxCommitCost  = winch.MaxTxnItems - 1
	progressCost   = 2
	completionCost = 5
	// retentionMargin is added to how long an ended job is known. Callers count from when they
	// see that the job has ended, which is later than the time in the record.
	retentionMargin = 30 * time.Second
	// endedReadDelay is how long after the takeover the records of ended jobs are first read, and
	// endedReadInterval how often they are read again. Neither is urgent.
	endedReadDelay    = 20 * time.Second
	endedReadInterval = 5 * time.Minute
	// sweepBatchSize is how many jobs, of two keys each, one transaction removes, and sweepDelay
	// the pause between two transactions.
	sweepBatchSize = (winch.MaxTxnItems - 1) / 2
	sweepDelay     = 50 * time.Millisecond
)

// runCommits writes changed job records until ctx ends.
func (l *leadership) runCommits(ctx context.Context) {
	var group conc.WaitGroup
	for range concurrentCommits {
		group.Go(func() { l.writeRecords(ctx) })
	}
	group.Wait()
}

// writeRecords commits changed records until ctx ends: at once if a caller waits for one of
// them, after commitDelay otherwise.
func (l *leadership) writeRecords(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-l.urgentSave:
		case <-l.unsaved:
			timer := time.NewTimer(commitDelay)
			select {
			case <-ctx.Done():
			case <-l.urgentSave:
			case <-timer.C:
			}
			timer.Stop()
		}
		l.commit(ctx)
	}
}

// recordCost returns how many operations of a transaction a record takes.
func recordCost(final bool) int {
	if final {
		return completionCost
	}
	return progressCost
}

// recordTxn returns the transaction that writes the records. Of an ended job without runs only
// the ended record remains, which a planner need not read when it takes over.
func (l *leadership) recordTxn(batch []fleet.Record) winch.Txn {
	txn := winch.Txn{Expect: map[string]uint64{keyOffice: l.revision}}
	for _, r := range batch {
		if r.Progress.State.Final() {
			end := endedRecord{State: r.Progress.State, At: r.Progress.Ended}
			txn.Writes = append(txn.Writes, winch.Write{Key: keyEnded(r.Job), Data: encode(end)})
			if !r.Retain {
				txn.Remove = append(txn.Remove, keyJob(r.Job), keyCancel(r.Job), keyProgress(r.Job), keyCommand(r.Job))
				continue
			}
		}
		key := keyProgress(r.Job)
		txn.Expect[key] = r.Revision
		txn.Writes = append(txn.Writes, winch.Write{Key: key, Data: encode(r.Progress)})
	}
	return txn
}

// commit writes one batch of records, on condition that this planner still holds the office. It
// reports whether there were records and all of them were written.
func (l *leadership) commit(ctx context.Context) bool {
	var batch []fleet.Record
	if l.duty.Do(ctx, func() { batch = l.planner.RecordsWithin(maxCommitCost, recordCost) }) != nil || len(batch) == 0 {
		return false
	}
	revision, err := l.node.Table.Commit(ctx, l.recordTxn(batch))
	var conflict *winch.ConflictError
	if errors.As(err, &conflict) && conflict.Current[keyOffice].Version != l.revision {
		l.node.Log.Info("office is no longer held; ending this term", zap.Uint64("term", l.term))
		l.cancel()
		return false
	}
	l.post(func() {
		for _, r := range batch {
			if err == nil {
				l.planner.Saved(r, revision)
				continue
			}
			// A write whose response was lost may have changed the record's revision.
			current := uint64(0)
			if conflict != nil {
				current = conflict.Current[keyProgress(r.Job)].Version
			}
			l.planner.SaveFailed(r, current)
		}
		l.logCompletions()
		l.decideSoon()
	})
	if err != nil {
		l.node.Log.Info("job records not written; retrying", zap.Int("count", len(batch)), zap.Error(err))
		duty.Sleep(ctx, retryDelay/3)
	}
	return err == nil
}

// runSweep removes the records of ended jobs after the retention period, until ctx ends.
func (l *leadership) runSweep(ctx context.Context) {
	var others map[string]time.Time // others holds when the jobs ended that this planner does not know.
	nextRead := time.Now().Add(endedReadDelay)
	for ctx.Err() == nil {
		duty.Sleep(ctx, sweepInterval)
		if time.Now().After(nextRead) {
			nextRead = time.Now().Add(endedReadDelay)
			if list, err := l.readEnded(ctx); err != nil {
				l.node.Log.Info("records of ended jobs not read; retrying", zap.Error(err))
			} else {
				others, nextRead = list, time.Now().Add(endedReadInterval)
			}
		}
		before := time.Now().Add(-l.node.Timing.Retention - retentionMargin)
		var ids []string
		if l.duty.Do(ctx, func() { ids = l.planner.ExpiredJobs(before) }) != nil {
			return
		}
		for id, at := range others {
			if at.Before(before) {
				ids = append(ids, id)
				delete(others, id)
			}
		}
		for batch := range slices.Chunk(ids, sweepBatchSize) {
			l.sweep(ctx, batch)
			duty.Sleep(ctx, sweepDelay)
		}
		l.sweepOrphans(ctx)
	}
}

// readEnded reads when the jobs ended that are recorded as ended and that this planner does not know: earlier planners
// recorded them, or they were cancelled before they were stored.
func (l *leadership) readEnded(ctx context.Context) (map[string]time.Time, error) {
	values, _, err := l.node.Table.Read(ctx, prefixEnded)
	if err != nil {
		return nil, err
	}
	ended := make(map[string]time.Time)
	for _, v := range values {
		var r endedRecord
		if err := decode(v.Data, &r); err != nil {
			l.node.Log.Error("stored record cannot be decoded", zap.String("key", v.Key), zap.Error(err))
		}
		ended[strings.TrimPrefix(v.Key, prefixEnded)] = r.At
	}
	err = l.duty.Do(ctx, func() {
		maps.DeleteFunc(ended, func(id string, _ time.Time) bool { return l.planner.HasJob(id) })
	})
	return ended, err
}

// sweep removes the records and commands of ended jobs and has the planner forget the jobs.
func (l *leadership) sweep(ctx context.Context, ids []string) {
	txn := winch.Txn{Expect: map[string]uint64{keyOffice: l.revision}}
	for _, id := range ids {
		txn.Remove = append(txn.Remove, keyEnded(id), keyCommand(id))
	}
	if _, err := l.node.Table.Commit(ctx, txn); err != nil {
		l.node.Log.Info("records of jobs past the retention period not removed", zap.Error(err))
		return
	}
	l.post(func() {
		for _, id := range ids {
			l.planner.Forget(id)
		}
	})
}

// sweepOrphans removes keys whose job has been removed. A write without a response may have
// taken effect after the removal of the job.
func (l *leadership) sweepOrphans(ctx context.Context) {
	for _, id := range l.orphans {
		_, err := l.node.Table.Commit(ctx, winch.Txn{
			Expect: map[string]uint64{keyOffice: l.revision, keyJob(id): 0}, Remove: []string{keyCancel(id), keyProgress(id)},
		})
		l.node.Log.Info("sweep of the leftover keys of a removed job finished", zap.String("job", id), zap.Error(err))
	}
	l.orphans = nil
}

// runRoster records in the roster which workers may be given work, and through which keeper,
// before they are given any. Before a planner that takes over restarts what an earlier one may
// have started, it needs a response of each worker of the roster or has to wait until its lease expires.
func (l *leadership) runRoster(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-l.rosterCh:
		}
		var wanted, recorded map[string]rosteredWorker
		if l.duty.Do(ctx, func() {
			wanted, recorded = maps.Clone(l.desired), l.roster
			for id, w := range wanted {
				if w.Bound != 0 && l.planner.RunsKnown(id) {
					w.Bound = 0 // The worker has responded since.
					wanted[id] = w
				}
				if w.Settled {
					l.maybeSettled[id] = true // From here on the stored roster may list the worker as settled.
				}
				if w.Bound != 0 {
					l.maybeBound[id] = true
					l.planner.SetUnresponsive(id)
				}
			}
		}) != nil {
			return
		}
		if err := l.writeRoster(ctx, wanted, recorded); err != nil {
			l.node.Log.Info("roster not written; retrying", zap.Error(err))
			duty.Sleep(ctx, retryDelay)
			duty.Signal(l.rosterCh)
			continue
		}
		l.post(func() {
			l.roster = wanted
			for id := range l.maybeSettled {
				if !wanted[id].Settled {
					delete(l.maybeSettled, id)
				}
			}
			for id := range l.maybeBound {
				if wanted[id].Bound == 0 {
					delete(l.maybeBound, id)
					l.sendPendingRenewal(id)
				}
			}
			l.reassign()
		})
	}
}

// recordRuns records in the roster all that may run at each worker, once nothing more is
// started, so that the next planner need not wait for a worker that does not respond. Of an
// unresponsive worker the runs are not known, but the time at which its lease expires is: no
// lease is renewed there any more, so the next planner need not wait for the longest lease.
func (l *leadership) recordRuns(ctx context.Context) {
	workers := make(map[string]rosteredWorker)
	if l.duty.Do(ctx, func() {
		l.runsRecorded = true
		age := l.maxAge()
		for id, w := range l.roster {
			w.Settled, w.Runs, w.Left, w.LeftTerm = l.planner.RunsKnown(id), nil, l.expiries.expiresIn(id), l.term
			w.LeftAge = age
			if w.Settled {
				w.Runs, w.Bound = l.planner.RunsAt(id), 0
			}
			workers[id] = w
		}
	}) != nil || len(workers) == 0 {
		return
	}
	if err := l.writeRoster(ctx, workers, nil); err != nil {
		l.node.Log.Info("recording runs for the next planner failed", zap.Error(err))
	}
}
