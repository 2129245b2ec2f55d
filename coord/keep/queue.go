package keep

import (
	"context"
	"sync"

	"plantainwinch/duty"
	"plantainwinch/proto"
)

// maxQueuedStarts bounds the starts queued for one worker.
const maxQueuedStarts = 128

// orderQueue holds the orders that wait to be sent to a worker, in the order in which they came. Starts beyond
// maxQueuedStarts are refused, since the planner can place their tasks elsewhere. Nobody else carries out the
// other orders, so these are never refused; at most one of them waits for each run.
type orderQueue struct {
	mu     sync.Mutex
	orders []*queuedOrder
	starts int
	byRun  map[runKey]*queuedOrder // byRun holds the orders other than starts.
	wake   chan struct{}
}

func newOrderQueue() *orderQueue {
	return &orderQueue{byRun: make(map[runKey]*queuedOrder), wake: make(chan struct{}, 1)}
}

// push queues an order, and reports false for a start that does not fit. An order replaces one that waits for the
// same run, unless that is a stop.
func (q *orderQueue) push(o queuedOrder) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	key := runKey{o.Task, o.Run}
	switch waiting := q.byRun[key]; {
	case o.Kind == proto.OrderStart:
		if q.starts >= maxQueuedStarts {
			return false
		}
		q.starts++
		q.orders = append(q.orders, &o)
	case waiting == nil:
		q.byRun[key] = &o
		q.orders = append(q.orders, &o)
	case waiting.Kind != proto.OrderStop:
		*waiting = o
	}
	duty.Signal(q.wake)
	return true
}

// retry queues an order other than a start again, unless one waits for the same run.
func (q *orderQueue) retry(o queuedOrder) {
	q.mu.Lock()
	defer q.mu.Unlock()
	key := runKey{o.Task, o.Run}
	if q.byRun[key] == nil {
		q.byRun[key] = &o
		q.orders = append(q.orders, &o)
		duty.Signal(q.wake)
	}
}

// next waits for an order and takes it from the queue. It returns false once ctx has ended.
func (q *orderQueue) next(ctx context.Context) (queuedOrder, bool) {
	for ctx.Err() == nil {
		if o, ok := q.pop(); ok {
			return o, true
		}
		select {
		case <-ctx.Done():
		case <-q.wake:
		}
	}
	return queuedOrder{}, false
}

// pop takes the first order from the queue, if there is one.
func (q *orderQueue) pop() (queuedOrder, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.orders) == 0 {
		return queuedOrder{}, false
	}
	o := q.orders[0]
	q.orders[0] = nil
	q.orders = q.orders[1:]
	if o.Kind == proto.OrderStart {
		q.starts--
	} else {
		delete(q.byRun, runKey{o.Task, o.Run})
	}
	if len(q.orders) > 0 {
		duty.Signal(q.wake) // Another sender may wait.
	}
	return *o, true
}
