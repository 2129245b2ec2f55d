package fleet

import (
	"cmp"
	"slices"
	"time"

	"plantainwinch/winch"
)

// Loss is a lost worker, with all runs that ended with it.
type Loss struct {
	Worker string
	// Crashed is set if the boot is known to have ended. Otherwise its lease has expired, and the
	// VM may be healthy but unreachable.
	Crashed bool
	Runs    []LostRun
}

// LostRun is a run that ended with its worker.
type LostRun struct {
	Task winch.RunID
	Run  uint64
	// Confirmed is set if the worker confirmed the start, Stopping if the run had been ordered to
	// stop.
	Confirmed, Stopping bool
	// Age is how long the run had existed when contact with the worker was lost.
	Age time.Duration
}

// Losses returns the workers that were lost with runs since the last call.
func (p *Planner) Losses() []Loss {
	out := p.losses
	p.losses = nil
	return out
}

// noteLoss records the loss of a worker, with its youngest runs first.
func (p *Planner) noteLoss(w *worker, crashed bool) {
	if len(w.runs) == 0 {
		return
	}
	loss := Loss{Worker: w.vm.ID, Crashed: crashed}
	for _, r := range w.runs {
		loss.Runs = append(loss.Runs, LostRun{
			Task: r.key.task, Run: r.key.run, Confirmed: r.started, Stopping: r.stopping, Age: r.age(),
		})
	}
	slices.SortFunc(loss.Runs, func(a, b LostRun) int { return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Run, b.Run)) })
	p.losses = append(p.losses, loss)
}

// age returns how long a run had existed at the end of contact with its worker, or until now if
// the worker is responsive.
func (r *run) age() time.Duration {
	last := r.worker.unresponsiveSince
	if last.IsZero() {
		last = r.worker.planner.now()
	}
	return max(0, last.Sub(r.since))
}
