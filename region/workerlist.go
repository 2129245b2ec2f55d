package region

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"plantainwinch/winch"
)

// followWorkers watches the platform's list of workers in the store and passes its changes to the planner.
func (l *leadership) followWorkers(ctx context.Context) {
	codec := l.node.Codec
	l.node.watch(ctx, codec.WorkerPrefix(), watchOptions{delay: workersPollInterval, onSuccess: l.noteListAsOf}, func(values []winch.Value, _ uint64) {
		l.post(func() {
			listed := make(map[string]bool)
			for _, v := range values {
				if vm, ok := l.decodeWorker(v); ok {
					listed[vm.ID] = true
					l.listWorker(vm)
				}
			}
			for id := range l.workers {
				if !listed[id] {
					l.unlistWorker(id)
				}
			}
			l.setWorkers()
		})
	}, func(events []winch.Event, _ uint64) {
		l.post(func() {
			for _, e := range events {
				if !e.Deleted {
					if vm, ok := l.decodeWorker(e.Value); ok {
						l.listWorker(vm)
						continue
					}
				}
				l.unlistWorker(e.Key[len(codec.WorkerPrefix()):])
			}
			l.setWorkers()
		})
	})
}

// decodeWorker decodes a worker's record. One that describes no usable worker is ignored: it was written by another program.
func (l *leadership) decodeWorker(v winch.Value) (winch.WorkerVM, bool) {
	vm, ok := l.node.Codec.Worker(v.Key, v.Data)
	if !ok {
		metrics.GetOrRegisterCounter("Planner.WorkerRecords.Ignored", l.node.Metrics).Inc(1)
		l.node.Log.Info("worker record ignored", zap.String("key", v.Key), zap.Int("bytes", len(v.Data)), zap.Uint64("version", v.Version))
	}
	return vm, ok
}

// noteListAsOf records the time at which the list was current.
func (l *leadership) noteListAsOf(at time.Time) {
	l.post(func() { l.listAsOf = at })
}

// listWorker applies a worker's record. A record without the start of the boot is taken for one of the known boot. One of
// an earlier start may have been written late by an earlier boot, so it is put aside until the known boot is found to have
// been replaced: the clock of the VM may have been set back. That goes as well for a worker that has left the list,
// or is not in it yet, while the planner knows of work there.
func (l *leadership) listWorker(vm winch.WorkerVM) {
	delete(l.missing, vm.ID)
	known, ok := l.workers[vm.ID]
	if !ok {
		known, ok = l.planner.WorkerVM(vm.ID)
	}
	switch {
	case ok && vm.Born == 0:
		vm.Born = known.Born
	case ok && vm.Born < known.Born:
		l.earlierBoots[vm.ID] = vm
		return
	}
	delete(l.earlierBoots, vm.ID)
	l.workers[vm.ID] = vm
}

// workerReplaced applies the record that was put aside if another boot than the listed one responds.
func (l *leadership) workerReplaced(id string) {
	if vm, ok := l.earlierBoots[id]; ok {
		delete(l.earlierBoots, id)
		l.workers[id] = vm
		l.setWorkers()
	}
}

// applyUnheldRecords applies the records that were put aside of workers that are not listed otherwise, once the planner
// knows nothing of them any more.
func (l *leadership) applyUnheldRecords() (applied bool) {
	for id, vm := range l.earlierBoots {
		_, listed := l.workers[id]
		if _, held := l.planner.WorkerVM(id); !listed && !held {
			delete(l.earlierBoots, id)
			l.workers[id] = vm
			applied = true
		}
	}
	return applied
}

// unlistWorker records that a worker's record has disappeared. Records also expire while the store is
// down and then come back, so a worker counts as removed only after workerReturnTimeout.
func (l *leadership) unlistWorker(id string) {
	if _, known := l.workers[id]; known {
		if _, noted := l.missing[id]; !noted {
			l.missing[id] = time.Now().Add(workerReturnTimeout)
		}
	}
}

// dropMissing removes the workers whose records did not come back.
func (l *leadership) dropMissing() {
	changed := l.applyUnheldRecords()
	for id, until := range l.missing {
		if time.Now().After(until) {
			delete(l.missing, id)
			delete(l.workers, id)
			changed = true
		}
	}
	if changed {
		l.setWorkers()
	}
}

// endAssignmentOf ends the assignment of a worker of which the planner knows nothing any more, or of another boot of it.
// Its lists are reported in the next assignment.
func (l *leadership) endAssignmentOf(id string) {
	l.expectLateStarts(id, 0)
	keeper, assigned := l.keepers[id]
	if !assigned {
		return
	}
	l.expiries.endAssignment(id, keeper, l.assignments[id].Token, l.grantedTo(keeper))
	l.expiriesChanged = true
	l.removeAssignment(id)
	if l.proxies[keeper] != nil {
		l.sendAssignments(keeper)
	}
}

// setWorkers passes the list to the planner and has new workers recorded.
func (l *leadership) setWorkers() {
	list := make([]winch.WorkerVM, 0, len(l.workers))
	for _, vm := range l.workers {
		list = append(list, vm)
	}
	for _, id := range l.planner.SetWorkers(list) {
		l.endAssignmentOf(id)
	}
	l.planner.SetRemoved(l.earlierWorkers())
	l.reassignSoon()
}
