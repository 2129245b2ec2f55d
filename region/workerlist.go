package region

import (
	"context"
	"time"

	"plantainwinch/winch"
)

// followWorkers watches the platform's list of workers in the store and passes its changes to the planner.
func (l *leadership) followWorkers(ctx context.Context) {
	codec := l.node.Codec
	l.node.watch(ctx, codec.WorkerPrefix(), watchOptions{delay: workersPollInterval, onSuccess: l.noteListAsOf}, func(values []winch.Value, _ uint64) {
		l.post(func() {
			listed := make(map[string]bool)
			for _, v := range values {
				if vm, ok := codec.Worker(v.Key, v.Data); ok {
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
				vm, ok := codec.Worker(e.Key, e.Data)
				if !e.Deleted && ok {
					l.listWorker(vm)
					continue
				}
				l.unlistWorker(e.Key[len(codec.WorkerPrefix()):])
			}
			l.setWorkers()
		})
	})
}

// noteListAsOf records the time at which the list was current.
func (l *leadership) noteListAsOf(at time.Time) {
	l.post(func() { l.listAsOf = at })
}

func (l *leadership) listWorker(vm winch.WorkerVM) {
	delete(l.missing, vm.ID)
	l.workers[vm.ID] = vm
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
	dropped := false
	for id, until := range l.missing {
		if time.Now().After(until) {
			delete(l.missing, id)
			delete(l.workers, id)
			dropped = true
		}
	}
	if dropped {
		l.setWorkers()
	}
}

// setWorkers passes the list to the planner and has new workers recorded.
func (l *leadership) setWorkers() {
	list := make([]winch.WorkerVM, 0, len(l.workers))
	for _, vm := range l.workers {
		list = append(list, vm)
	}
	l.planner.SetWorkers(list)
	l.planner.SetRemoved(l.earlierWorkers())
	l.reassignSoon()
}
