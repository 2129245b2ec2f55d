package slots

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"plantainwinch/proto"
)

// openSlots returns how many slots of a service may be in use at most.
func (t *Table) openSlots(name string) int {
	total := 0
	for _, e := range t.executors {
		if e.vm.Service == name && e.vm.AcceptsWork() {
			total += e.openSlots
		}
	}
	return total
}

// applyVerdict updates the failure count, open slots and run time statistics with the
// result of one call.
func (t *Table) applyVerdict(e *executor, done proto.SlotRelease) {
	switch done.Verdict {
	case proto.Answered:
		e.failures, e.backoff = 0, 0
		e.openSlots = min(e.openSlots+1, e.vm.Slots)
		t.service(e.vm.Service).recordRunTime(done.Took)
	case proto.Rejected:
		e.openSlots = max(1, e.openSlots/2)
		t.recordFailure(e)
	case proto.Failed:
		t.recordFailure(e)
	case proto.Unused:
	}
}

// recordFailure counts a failure and quarantines the executor after several in a row. An
// executor that fails every call at once always has free slots and would attract all
// calls. At most half of a service's executors are quarantined, so that requests that
// fail on every executor cannot make the service unavailable.
func (t *Table) recordFailure(e *executor) {
	e.failures++
	if e.failures < failuresToQuarantine || t.quarantinedCount(e.vm.Service)*2 >= t.executorCount(e.vm.Service) {
		return
	}
	e.backoff = min(max(2*e.backoff, minQuarantine), maxQuarantine)
	e.quarantinedUntil = time.Now().Add(e.backoff)
	metrics.GetOrRegisterCounter("Slots.SetAside", t.Metrics).Inc(1)
}

func (t *Table) quarantinedCount(name string) (n int) {
	now := time.Now()
	for _, e := range t.executors {
		if e.vm.Service == name && now.Before(e.quarantinedUntil) {
			n++
		}
	}
	return n
}

func (t *Table) executorCount(name string) (n int) {
	for _, e := range t.executors {
		if e.vm.Service == name {
			n++
		}
	}
	return n
}
