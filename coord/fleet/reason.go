package fleet

// Reason says why a task does not run, or is not known to have ended.
type Reason int

// The reasons; String lists their texts in the same order.
const (
	// WaitRun means that a run of the task, or of its gang, is not known to have ended.
	WaitRun Reason = iota + 1
	// WaitStart means that a start has been ordered but not confirmed.
	WaitStart
	// WaitQueue means that no configuration names the job's queue.
	WaitQueue
	// WaitAdopting means that workers that an earlier planner used have not reported their runs
	// yet.
	WaitAdopting
	// WaitOffice means that the planner learned of the job at a time when its office (its
	// leadership lease in the store) may have expired.
	WaitOffice
	// WaitLimit means that the team has reached its limit.
	WaitLimit
	// WaitWorker means that no worker that may be given work can run the task: none is of the required kind, none is large
	// enough, the advice service allows none, or a gang is larger than all of them together.
	WaitWorker
	// WaitQuarantine means that all workers of the required kind are in quarantine.
	WaitQuarantine
	// WaitDecision means that a worker has free capacity, so the next Schedule should start the
	// task.
	WaitDecision
	// WaitAdvice means that a request to the advice service is pending.
	WaitAdvice
	// WaitAdviceRetry means that the last advice request failed and is retried later.
	WaitAdviceRetry
	// WaitTicket means that there is no valid ticket for a worker with free capacity, and no
	// advice request about one is pending.
	WaitTicket
	// WaitDenied means that the advice service allows none of the workers.
	WaitDenied
	// WaitCapacity means that no worker that may run the task has free capacity.
	WaitCapacity
	// WaitUrgentCapacity means that the free capacity is reserved for urgent work.
	WaitUrgentCapacity
	// WaitRecord means that all tasks have ended, but the store does not hold that yet.
	WaitRecord
	// WaitLostResponse means that the completion of a run was listed late because the worker's
	// responses were lost.
	WaitLostResponse
	// WaitProbe means that a worker crashed under a task of the phase, and no such task may be
	// started beside others until a probe has shown that it is not the cause.
	WaitProbe
	// WaitEvacuated means that all workers that could run the task are in evacuated failure domains.
	WaitEvacuated
	// WaitSlowWorker is the time by which the longest run of a phase was longer because its worker is
	// slower than usual.
	WaitSlowWorker
	// WaitShare means that no worker has free capacity, and that other teams go first because the
	// team uses more than its share.
	WaitShare
	// WaitEvicted means that a run of the task was stopped for urgent work.
	WaitEvicted
)

// String returns the text of the reason that is written to the log.
func (r Reason) String() string {
	names := []string{
		"", "run state unknown", "start unconfirmed", "queue not configured", "takeover: workers unresponsive",
		"office may have expired", "team limit reached", "no eligible worker", "workers quarantined",
		"next scheduling pass", "advice request pending", "advice request failed", "no valid ticket",
		"denied by advice", "insufficient capacity", "capacity reserved for urgent work",
		"completion not recorded", "worker response lost", "suspected of crashing workers",
		"failure domain evacuated", "ran on a slower worker", "team above its share", "evicted for urgent work",
	}
	if r < 0 || int(r) >= len(names) {
		return ""
	}
	return names[r]
}
