package ledger

import (
	"context"
	"errors"
	"maps"
	"slices"

	"plantainwinch/state/swap"
	"plantainwinch/winch"
)

// ErrFinal is returned by a change of a job that has ended, or of a call that
// belongs to another attempt.
var ErrFinal = errors.New("the job has ended")

// ErrDuplicate is returned when a request id was used for a different request.
var ErrDuplicate = errors.New("the request id was used for a different request")

// Accept records a job and returns the record in the ledger: the given one, or the
// record of an earlier submission of the same request.
func (l *Ledger) Accept(ctx context.Context, job winch.Job) (winch.Job, error) {
	out := job
	err := l.Commit(ctx, job.ID, func(p *Partition) error {
		old, ok := p.Jobs[job.ID]
		if !ok && p.estimateSize() > maxPartitionSize {
			return ErrFull
		}
		if !ok {
			p.Jobs[job.ID] = job
			out = job
			return nil
		}
		out = old
		if old.Digest != job.Digest {
			return ErrDuplicate
		}
		return swap.ErrUnchanged
	})
	if errors.Is(err, winch.ErrUncertain) {
		return job, err // The change may still be applied and write out concurrently.
	}
	if errors.Is(err, swap.ErrUnchanged) {
		err = nil
	}
	return out, err
}

// Job returns the record of a job, or winch.ErrNotFound if there is none.
func (l *Ledger) Job(ctx context.Context, id string) (winch.Job, error) {
	p, err := l.Read(ctx, id)
	if err != nil {
		return winch.Job{}, err
	}
	j, ok := p.Jobs[id]
	if !ok {
		return winch.Job{}, winch.ErrNotFound
	}
	return j, nil
}

// Jobs returns the records of all jobs in the order of their submission.
func (l *Ledger) Jobs(ctx context.Context) ([]winch.Job, error) {
	values, err := l.Store.List(ctx, l.Prefix)
	if err != nil {
		return nil, err
	}
	var out []winch.Job
	for _, raw := range values {
		jobs, err := decodeJobs(raw)
		if err != nil {
			return nil, err
		}
		out = append(out, jobs...)
	}
	slices.SortFunc(out, func(a, b winch.Job) int { return a.Submitted.Compare(b.Submitted) })
	return out, nil
}

func decodeJobs(raw winch.Value) ([]winch.Job, error) {
	v, err := swap.Decode[Partition](raw)
	if err != nil {
		return nil, err
	}
	return slices.Collect(maps.Values(v.Body.Jobs)), nil
}

// JobsAt returns the jobs of the partition with the given store key.
func (l *Ledger) JobsAt(ctx context.Context, key string) ([]winch.Job, error) {
	raw, err := l.Store.Get(ctx, key)
	if err != nil {
		return nil, err
	}
	return decodeJobs(raw)
}

// changeJob commits a change of a job that has not ended.
func (l *Ledger) changeJob(ctx context.Context, id string, change func(*winch.Job) error) error {
	return l.Commit(ctx, id, func(p *Partition) error {
		j, ok := p.Jobs[id]
		if !ok {
			return winch.ErrNotFound
		}
		if j.State.Final() {
			return ErrFinal
		}
		if err := change(&j); err != nil {
			return err
		}
		p.Jobs[id] = j
		return nil
	})
}

// AddIntent records that a task of a non-repeatable job is about to be started.
func (l *Ledger) AddIntent(ctx context.Context, id winch.TaskID) error {
	return l.changeJob(ctx, id.Job, func(j *winch.Job) error {
		if !slices.Contains(j.Intent, id.Index) {
			j.Intent = append(slices.Clone(j.Intent), id.Index)
		}
		return nil
	})
}

// Cancel marks a job as cancelled by its caller. It returns ErrFinal if the job
// ended first.
func (l *Ledger) Cancel(ctx context.Context, id string) error {
	return l.changeJob(ctx, id, func(j *winch.Job) error {
		j.Cancel = true
		return nil
	})
}

// Finish records a job in its final state. Its intents and its cancellation stay as
// they are in the ledger.
func (l *Ledger) Finish(ctx context.Context, job winch.Job) error {
	return l.changeJob(ctx, job.ID, func(j *winch.Job) error {
		intent, cancel := j.Intent, j.Cancel
		*j = job
		j.Intent, j.Cancel = intent, cancel
		return nil
	})
}

// Progress records tasks that completed successfully, before the workers are told
// to forget them. Tasks of long-running jobs never complete.
func (l *Ledger) Progress(ctx context.Context, id string, completed []int) error {
	err := l.changeJob(ctx, id, func(j *winch.Job) error {
		if j.Spec.Kind == winch.LongRunning {
			return swap.ErrUnchanged
		}
		for _, i := range completed {
			if !slices.Contains(j.EndedTasks, i) {
				j.EndedTasks = append(slices.Clone(j.EndedTasks), i)
			}
		}
		return nil
	})
	if errors.Is(err, swap.ErrUnchanged) {
		err = nil
	}
	return err
}
