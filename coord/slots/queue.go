package slots

import (
	"container/heap"
	"time"

	"plantainwinch/proto"
)

// waiter is a request that waits for a slot.
type waiter struct {
	request  proto.SlotRequest
	holder   string
	deadline time.Time
	reply    chan proto.SlotResponse
	queued   bool
	index    int
}

// teamQueue is a heap of one team's waiters, ordered by deadline.
type teamQueue []*waiter

// Len implements heap.Interface.
func (q teamQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q teamQueue) Less(i, j int) bool { return q[i].deadline.Before(q[j].deadline) }

// Swap implements heap.Interface.
func (q teamQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push implements heap.Interface.
func (q *teamQueue) Push(x any) {
	w := x.(*waiter)
	w.index = len(*q)
	*q = append(*q, w)
}

// Pop implements heap.Interface.
func (q *teamQueue) Pop() any {
	old := *q
	w := old[len(old)-1]
	*q = old[:len(old)-1]
	return w
}

// service holds the queues and the run time statistics of one service.
type service struct {
	name          string
	teams         map[string]*teamQueue
	queuedByClass map[string]int
	queued        int
	meanRunTime   time.Duration
}

func (s *service) push(w *waiter) {
	q := s.teams[w.request.Team]
	if q == nil {
		q = &teamQueue{}
		s.teams[w.request.Team] = q
	}
	heap.Push(q, w)
	w.queued = true
	s.queued++
	s.queuedByClass[w.request.Class]++
}

func (s *service) remove(w *waiter) {
	q := s.teams[w.request.Team]
	heap.Remove(q, w.index)
	if q.Len() == 0 {
		delete(s.teams, w.request.Team)
	}
	w.queued = false
	s.queued--
	s.queuedByClass[w.request.Class]--
}

// next returns the waiter to serve next: the one with the earliest deadline of the team
// that uses the fewest slots relative to its share.
func (s *service) next(inUse map[string]int, share func(string) int) *waiter {
	var best *waiter
	var bestUsage float64
	for team, q := range s.teams {
		usage := float64(inUse[team]) / float64(max(1, share(team)))
		w := (*q)[0]
		if best == nil || usage < bestUsage || usage == bestUsage && w.deadline.Before(best.deadline) {
			best, bestUsage = w, usage
		}
	}
	return best
}

func (s *service) findWaiter(grant string) *waiter {
	for _, q := range s.teams {
		for _, w := range *q {
			if w.request.Grant == grant {
				return w
			}
		}
	}
	return nil
}

// estimateWait returns how long a call that is queued now is expected to wait, based on
// the mean run time. It returns zero if no run time is known yet.
func (s *service) estimateWait(slots int) time.Duration {
	if slots == 0 {
		return 0
	}
	return s.meanRunTime * time.Duration(s.queued+1) / time.Duration(slots)
}

// recordRunTime adds a run time to the moving average.
func (s *service) recordRunTime(took time.Duration) {
	if s.meanRunTime == 0 {
		s.meanRunTime = took
		return
	}
	s.meanRunTime += time.Duration(runTimeWeight * float64(took-s.meanRunTime))
}
