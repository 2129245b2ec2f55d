package region

import (
	"time"

	"plantainwinch/winch"
)

// Bounds on what users are promised: a lasting task has maxRestartDelay to run again, and counts as
// lost if it is down for maxDowntime beyond that.
const (
	// maxDowntime is how long a lasting task may stay down beyond maxRestartDelay, while there is free
	// capacity for minSpareSlots such tasks and no disturbance.
	maxDowntime = 3 * time.Second
	// recoveryTime is how long the region may need to recover from a disturbance; until then
	// downtime does not count.
	recoveryTime = 4 * time.Second
	// minSpareSlots is the number of free slots that must exist for a waiting task to count as late.
	minSpareSlots = 2
	// maxDrainDelay is how long after its announcement a draining worker may still be given work.
	maxDrainDelay = 2 * time.Second
	// crashedRecordLifetime is how long the record of a worker that crashed stays listed.
	crashedRecordLifetime = 4500 * time.Millisecond
	// workerClockDrift is the fraction by which a worker's clock may be slower than the entries'.
	workerClockDrift = 0.02
)

// downtimeChecker checks, in the random tests, that no lasting task is down for longer than users are
// promised. Kills, crashes, network partitions, pauses, unresponsive workers and store faults are
// disturbances, which excuse downtime. Planned stops of entries and announced departures of workers
// are not. The world's mutex guards it.
type downtimeChecker struct {
	// disturbances counts the disturbances in progress; undisturbedSince is when the last one began
	// or ended.
	disturbances     int
	undisturbedSince time.Time
	// plannedAt is when the last planned stop or departure began.
	plannedAt time.Time
	// spareSince is since when there has always been free capacity; zero if there is none.
	spareSince time.Time
	// reported holds the tasks whose current downtime has been reported.
	reported map[winch.RunID]bool
}

// addDisturbance records that a disturbance begins or ends. The world's mutex is held.
func (v *downtimeChecker) addDisturbance(on bool) {
	v.undisturbedSince = time.Now()
	if on {
		v.disturbances++
	} else {
		v.disturbances--
	}
}

// undisturbedTime returns for how long there has been no disturbance.
func (v *downtimeChecker) undisturbedTime() time.Duration {
	if v.disturbances > 0 {
		return 0
	}
	return time.Since(v.undisturbedSince)
}

// check checks all lasting tasks.
func (v *downtimeChecker) check(w *world) {
	v.updateSpare(w)
	for task, at := range w.lasting.downSince {
		if at.IsZero() {
			delete(v.reported, task)
			continue
		}
		late := time.Since(at) >= maxRestartDelay+maxDowntime && v.undisturbedTime() >= recoveryTime+maxDowntime &&
			!v.spareSince.IsZero() && time.Since(v.spareSince) >= maxDowntime
		if late && !v.reported[task] {
			v.reported[task] = true
			w.reportViolation("%v: lasting task %v has been down for %v, with free capacity for %v and no disturbance for %v",
				time.Since(w.log.startedAt), task, time.Since(at), time.Since(v.spareSince), v.undisturbedTime())
		}
	}
}

// updateSpare updates spareSince. It is called whenever there may be less free capacity.
func (v *downtimeChecker) updateSpare(w *world) {
	slots := int64(0)
	for _, x := range w.workers {
		_, evacuated := w.evacuatedAt[x.vm.Domain]
		if !x.terminated && !x.unresponsive && x.drainingSince.IsZero() && !w.partitioned[x.vm.Domain] && !evacuated {
			slots += (x.vm.Room.Milli - x.usedMilli) / taskMilli
		}
	}
	if slots < minSpareSlots {
		v.spareSince = time.Time{}
	} else if v.spareSince.IsZero() {
		v.spareSince = time.Now()
	}
}

// runStarted checks the start of a run of a lasting task, and makes some runs fail some time later.
func (v *downtimeChecker) runStarted(w *world, x *simWorker, r *simRun) {
	if v == nil {
		return
	}
	v.updateSpare(w)
	if w.intn(4) == 0 {
		r.end, r.fails = time.Now().Add(time.Duration(1+w.intn(30))*time.Second), true
	}
	if !x.drainingSince.IsZero() && time.Since(x.drainingSince) > maxDrainDelay && v.undisturbedTime() > recoveryTime {
		w.reportViolation("%v: draining worker %s is given work %v after its announcement", time.Since(w.log.startedAt), x.vm.ID, time.Since(x.drainingSince))
	}
}

// startDowntimeChecks starts the checks of downtime outside disturbances.
func (w *world) startDowntimeChecks() {
	w.mu.Lock()
	w.downtimeChecks = &downtimeChecker{undisturbedSince: time.Now(), reported: make(map[winch.RunID]bool)}
	w.mu.Unlock()
	w.group.Go(func() { w.downtimeChecks.watch(w) })
}

// watch runs check until the world ends.
func (v *downtimeChecker) watch(w *world) {
	for w.ctx.Err() == nil {
		time.Sleep(50 * time.Millisecond)
		w.mu.Lock()
		v.check(w)
		w.mu.Unlock()
	}
}

// gangTimedOut reports a violation if a member of a gang waited in vain for the others without a
// disturbance. Planned work counts as a disturbance here, since the entry that starts the members may
// have been stopped. The world's mutex is held.
func (v *downtimeChecker) gangTimedOut(w *world, key runKey) {
	w.log.note("gang member %v, run %d, ends because its gang was not complete in time", key.task, key.run)
	if v != nil && v.undisturbedTime() > recoveryTime+gangTimeout && time.Since(v.plannedAt) > recoveryTime+gangTimeout {
		w.reportViolation("%v: gang of %v was not complete in time, with no disturbance for %v", time.Since(w.log.startedAt), key.task, v.undisturbedTime())
	}
}
