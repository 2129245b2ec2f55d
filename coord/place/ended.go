package place

import (
	"fmt"
	"slices"
	"time"

	"plantainwinch/winch"
)

// Final tells that a job has reached its end, or that a task has.
type Final struct {
	Job    string
	State  winch.JobState
	Reason winch.Reason
	Detail string
}

// Refused tells that a start surely did not happen. The rest of a gang is taken
// back whole.
func (p *Planner) Refused(a winch.Attempt, now time.Time) []Decision {
	t := p.attempt(a)
	if t == nil {
		return nil
	}
	j, n := t.job, t.node
	p.free(t)
	p.failedOn(n, j, now)
	if j.rec.State.Final() {
		return nil // Queued again, it would be started although its job is over.
	}
	if j.rec.Cancel {
		p.cancelled(j)
		return nil
	}
	p.delay(j, now)
	p.requeue(j, a.Task.Index)
	if !j.gang() {
		return nil
	}
	return p.takeBack(j)
}

// takeBack stops all running tasks of a job; they wait again once stopped.
func (p *Planner) takeBack(j *job) []Decision {
	var out []Decision
	for i := range j.rec.Spec.Tasks {
		if t := j.running[i]; t != nil && !t.stopping {
			t.stopping = true
			out = append(out, Decision{Action: Stop, Task: p.task(t), VM: t.node.vm})
		}
	}
	return out
}

func (p *Planner) requeue(j *job, i int) {
	p.queue.remove(j)
	j.pending = append(j.pending, i)
	slices.Sort(j.pending)
	p.push(j)
}

// Ended tells that a task has ended at its worker, or is surely gone with it.
// A worker that was taken for lost may report an end of an attempt that has
// since been started elsewhere; such a report must not end the new attempt.
func (p *Planner) Ended(vmID string, task winch.Task, now time.Time) []Decision {
	p.freeForeign(vmID, task.Ref())
	t := p.find(task.ID)
	if t == nil {
		return p.endedBefore(vmID, task, now)
	}
	if t.node.vm.ID != vmID {
		return nil
	}
	j := t.job
	p.free(t)
	if j.rec.State.Final() {
		return nil
	}
	out := p.outcome(j, t, task, now)
	if !j.rec.State.Final() {
		p.push(j) // The rest of a gang may have waited for this task's end.
	}
	return out
}

func (p *Planner) outcome(j *job, t *placed, task winch.Task, now time.Time) []Decision {
	switch task.State {
	case winch.TaskDone:
		return p.succeeded(j, t, task.Output, now)
	case winch.TaskFailed:
		return p.failed(j, t, now)
	default:
		return p.stopped(j, t, now)
	}
}

// endedBefore takes in a task that an earlier placer started and that ended
// before this one knew of it. The earlier placer may have given its unit back and
// used it for another task already: giving it back again would let the team run
// more than its limit.
func (p *Planner) endedBefore(vmID string, task winch.Task, now time.Time) []Decision {
	n, j := p.nodes[vmID], p.jobs[task.ID.Job]
	if n == nil || j == nil || task.State == winch.TaskStopped || !j.need.Fits(n.free) {
		return nil
	}
	t := p.adopt(n, task, now)
	if t == nil {
		return nil
	}
	t.unpaid = true
	return p.Ended(vmID, task, now)
}

func (p *Planner) succeeded(j *job, t *placed, output string, now time.Time) []Decision {
	p.learn(j, now.Sub(t.started))
	t.node.health.good()
	j.backoff = 0
	if j.rec.Spec.Kind == winch.LongRunning {
		p.requeue(j, t.id.Index) // A service is kept at its count.
		return nil
	}
	j.ended[t.id.Index] = true
	j.rec.EndedTasks = append(j.rec.EndedTasks, t.id.Index)
	if output != "" && len(j.rec.Output) < outputsKept {
		j.rec.Output = append(j.rec.Output, output)
	}
	if len(j.ended) == j.rec.Spec.Tasks {
		p.finish(j, winch.JobDone, "", "")
	}
	return nil
}

// outputsKept bounds the outputs in a job's record.
const outputsKept = 16

func (p *Planner) failed(j *job, t *placed, now time.Time) []Decision {
	p.failedOn(t.node, j, now)
	j.rec.Failed++
	j.attempts[t.id.Index]++
	if !j.class.Repeatable || j.attempts[t.id.Index] >= failuresToGiveUp {
		out := p.takeBack(j)
		p.finish(j, winch.JobFailed, winch.ExecutorFailed, fmt.Sprintf("task %d failed on %d workers", t.id.Index, len(j.badOn)))
		return out
	}
	p.delay(j, now)
	p.requeue(j, t.id.Index)
	if j.gang() {
		return p.takeBack(j)
	}
	return nil
}

// delay keeps a job out of the queue for a while after a start that failed,
// longer each time. Without it a job that every worker refuses at once would be
// started again and again as fast as the placer can.
func (p *Planner) delay(j *job, now time.Time) {
	j.backoff = min(max(2*j.backoff, backoffFirst), backoffMost)
	p.pause(j, now)
}

// pause keeps a job out of the queue for its present backoff.
func (p *Planner) pause(j *job, now time.Time) {
	p.queue.remove(j)
	j.notBefore = now.Add(max(j.backoff, backoffFirst))
	if !j.delayed {
		j.delayed = true
		p.delayed = append(p.delayed, j)
	}
}

// wakeJobs puts jobs back into the queue whose delay is over.
func (p *Planner) wakeJobs(now time.Time) {
	left := p.delayed[:0]
	for _, j := range p.delayed {
		if now.Before(j.notBefore) && !j.rec.State.Final() {
			left = append(left, j)
			continue
		}
		j.delayed = false
		p.push(j)
	}
	clear(p.delayed[len(left):])
	p.delayed = left
}

// push queues a job unless it is delayed, or a gang of which some still run.
func (p *Planner) push(j *job) {
	if j.delayed || j.gang() && len(j.running) > 0 {
		return
	}
	p.queue.push(j)
}

// stopped handles a task that ended without result: evicted, lost with its
// worker, or stopped by request. Only a repeatable one may run again.
func (p *Planner) stopped(j *job, t *placed, now time.Time) []Decision {
	if j.rec.Cancel {
		p.cancelled(j)
		return nil
	}
	if !j.class.Repeatable {
		out := p.takeBack(j)
		p.finish(j, winch.JobUnknown, winch.ExecutorFailed, fmt.Sprintf("task %d was lost with its worker", t.id.Index))
		return out
	}
	if t.stopping {
		p.pause(j, now) // Else it could take back the room that it was evicted from.
	}
	p.requeue(j, t.id.Index)
	if j.gang() {
		return p.takeBack(j)
	}
	return nil
}

// cancelled ends a job whose cancel was asked for, once nothing of it runs.
func (p *Planner) cancelled(j *job) {
	if len(j.running) == 0 {
		p.finish(j, winch.JobCancelled, winch.Cancelled, "")
	}
}

// finish ends a job. Tasks of it that still run were told to stop; they keep
// their room until they have.
func (p *Planner) finish(j *job, state winch.JobState, reason winch.Reason, detail string) {
	if j.rec.State.Final() {
		return
	}
	p.queue.remove(j)
	j.pending = nil
	j.rec.State = state
	p.ends = append(p.ends, Final{Job: j.rec.ID, State: state, Reason: reason, Detail: detail})
	if p.reserved != nil && p.reserved.job == j {
		p.dropReservation()
	}
}

// Finals returns the jobs that ended since the last call.
func (p *Planner) Finals() []Final {
	out := p.ends
	p.ends = nil
	return out
}
