package ledger

import (
	"context"
	"errors"
	"maps"
	"slices"

	"plantainwinch/state/swap"
	"plantainwinch/winch"
)

// ErrFinal is returned by a change of a job that has reached its end.
var ErrFinal = errors.New("the job has ended")

// ErrDuplicate is returned when a request id was used for a different request.
var ErrDuplicate = errors.New("the request id was used for a different request")

// Accept records a job and returns the record in the ledger: the one given, or
// the earlier one of the same request.
func (l *Ledger) Accept(ctx context.Context, job winch.Job) (winch.Job, error) {
	out := job
	err := l.Commit(ctx, job.ID, func(p *Partition) error {
		old, ok := p.Jobs[job.ID]
		if !ok && p.size() > sizeMost {
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
		return job, err // The change may still be under way and write what is read here.
	}
	if errors.Is(err, swap.ErrUnchanged) {
		err = nil
	}
	return out, err
}

// Job reads one job.
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

// Jobs reads all jobs.
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

// JobsAt reads the jobs of the partition under one key.
func (l *Ledger) JobsAt(ctx context.Context, key string) ([]winch.Job, error) {
	raw, err := l.Store.Get(ctx, key)
	if err != nil {
		return nil, err
	}
	return decodeJobs(raw)
}

// changeJob commits a change of one unfinished job.
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

// Cancel marks a job as cancelled by its caller. ErrFinal means that its end won.
func (l *Ledger) Cancel(ctx context.Context, id string) error {
	return l.changeJob(ctx, id, func(j *winch.Job) error {
		j.Cancel = true
		return nil
	})
}

// Finish records the end of a job. The intents stay as they are in the ledger.
func (l *Ledger) Finish(ctx context.Context, job winch.Job) error {
	return l.changeJob(ctx, job.ID, func(j *winch.Job) error {
		intent, cancel := j.Intent, j.Cancel
		*j = job
		j.Intent, j.Cancel = intent, cancel
		return nil
	})
}

// Progress records tasks that ended well, before the workers forget them.
func (l *Ledger) Progress(ctx context.Context, id string, ended []int) error {
	return l.changeJob(ctx, id, func(j *winch.Job) error {
		for _, i := range ended {
			if !slices.Contains(j.EndedTasks, i) {
				j.EndedTasks = append(slices.Clone(j.EndedTasks), i)
			}
		}
		return nil
	})
}
