package trial

import (
	"fmt"
	"time"

	"plantainwinch/proto"
	"plantainwinch/winch"
)

// losesResponse draws whether a response sent now is lost.
func (r *simRegion) losesResponse() bool {
	at := r.now.Sub(r.begin)
	return at >= lossStart && at < lossEnd && r.rnd.Float64() < r.pattern.LossRate
}

// startRun starts a run at its worker, unless the worker is down or the response is lost.
func (r *simRegion) startRun(o proto.Order) {
	arrival := r.jobs[o.Task.Job]
	if r.workers[o.Worker].down {
		r.reportRefused(o)
		return
	}
	if !arrival.job.Phases[o.Task.Phase].Gang && r.losesResponse() {
		r.schedule(lostStartDelay, func() {
			r.planner.HandleEvent(proto.KeeperEvent{Kind: proto.EventNotStarted, Worker: o.Worker, Task: o.Task, Run: o.Run, Result: winch.StartUncertain})
			r.scheduleDecision()
		})
		return
	}
	left, saved := r.checkpointed[o.Task]
	if !saved || o.Checkpoint == "" {
		left = arrival.runTimes[o.Task.Phase][o.Task.Index]
	} else if r.pattern.CheckpointInterval > 0 {
		left += restoreDelay
	}
	work := left
	left = r.runTimeAt(r.workers[o.Worker], o.Task, left)
	run := &activeRun{worker: o.Worker, started: r.now, remaining: left, work: work}
	key := runKey{o.Task, o.Run}
	r.runs[key] = run
	r.checkCapacity(o)
	r.noteOverlap(o.Task)
	r.scheduleCrash(arrival, key, run)
	r.schedule(messageDelay, func() {
		r.planner.HandleEvent(proto.KeeperEvent{Kind: proto.EventStarted, Worker: o.Worker, Task: o.Task, Run: o.Run})
	})
	r.schedule(left+messageDelay, func() { r.endRun(key, run, winch.CompletionDone) })
}

// endRun ends a run and reports its completion, with an additional delay if the list is lost.
func (r *simRegion) endRun(key runKey, run *activeRun, kind winch.CompletionKind) {
	if run.ended {
		return
	}
	run.ended = true
	delete(r.runs, key)
	r.overlaps[key.task]--
	r.workers[run.worker].used = r.workers[run.worker].used.Sub(r.need(key.task))
	delay, checkpoint := messageDelay, ""
	if r.losesResponse() {
		delay += lostListDelay
	}
	if kind == winch.CompletionStopped && r.jobs[key.task.Job].job.Phases[key.task.Phase].Checkpoints {
		r.checkpointed[key.task] = run.workLeft(r.now)
		checkpoint = "saved"
	}
	r.schedule(delay, func() {
		r.lastEnded[run.worker]++
		r.planner.HandleEvent(proto.KeeperEvent{Kind: proto.EventEnded, Worker: run.worker, Ended: []winch.Completion{
			{Number: r.lastEnded[run.worker], Task: key.task, Run: key.run, Kind: kind, Checkpoint: checkpoint},
		}})
		r.scheduleDecision()
	})
}

// stopRun ends a run after stopDelay.
func (r *simRegion) stopRun(o proto.Order) {
	key := runKey{o.Task, o.Run}
	if run := r.runs[key]; run != nil {
		r.schedule(r.stopTime(), func() { r.endRun(key, run, winch.CompletionStopped) })
	}
}

// stopTime draws how long a run takes to stop.
func (r *simRegion) stopTime() time.Duration {
	if r.pattern.MaxStop == 0 {
		return stopDelay
	}
	return time.Duration(r.rnd.Float64() * float64(r.pattern.MaxStop))
}

// saveProgress saves the progress of a run as of its last checkpoint and returns the checkpoint.
func (r *simRegion) saveProgress(key runKey, run *activeRun) string {
	interval := r.pattern.CheckpointInterval
	if interval == 0 || !r.jobs[key.task.Job].job.Phases[key.task.Phase].Checkpoints {
		return ""
	}
	n := r.now.Sub(run.started) / interval
	if n == 0 {
		return ""
	}
	r.checkpointed[key.task] = run.remaining - n*interval
	return fmt.Sprint(key.run, "/", int(n))
}

// scheduleReports schedules the progress reports of all workers and the samples of capacity in use.
func (r *simRegion) scheduleReports() {
	r.schedule(reportInterval, func() {
		running := make(map[string][]winch.Running)
		used := make(map[string]winch.Capacity)
		for _, key := range r.sortedRuns() {
			run := r.runs[key]
			phase := r.jobs[key.task.Job].job.Phases[key.task.Phase]
			used[r.serviceOf(run.worker).Name] = used[r.serviceOf(run.worker).Name].Add(phase.Need)
			runTime := r.jobs[key.task.Job].runTimes[key.task.Phase][key.task.Index]
			done := 1 - float64(run.workLeft(r.now))/float64(runTime)
			running[run.worker] = append(running[run.worker], winch.Running{Task: key.task, Run: key.run, Percent: float64(int(100 * done)), Checkpoint: r.saveProgress(key, run)})
		}
		for _, id := range sortedKeys(running) {
			if r.workers[id].down {
				continue
			}
			r.planner.HandleEvent(proto.KeeperEvent{Kind: proto.EventStatus, Worker: id, Running: running[id]})
		}
		if r.now.Sub(r.begin) <= r.pattern.Length {
			for _, s := range r.pattern.Services {
				r.usage.capacity[s.Name].add(s.usedFraction(used[s.Name]))
			}
		}
		r.scheduleReports()
	})
}
