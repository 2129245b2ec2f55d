package place

import (
	"container/heap"
	"math/bits"
	"time"

	"plantainwinch/winch"
)

// job is a job with its scheduling state.
type job struct {
	rec   winch.Job
	class winch.Class
	// need is the resources that each task needs.
	need winch.Resources
	// pending holds the sorted indexes of the tasks that wait to be started.
	pending []int
	running map[int]*placement
	// ended holds the tasks that succeeded.
	ended map[int]bool
	// failures and starts count how often each task failed and was started.
	failures, starts map[int]int
	// held is set while the job waits for the barrier, see OpenBarrier.
	held bool
	// latestStart is the time by which the job must start to meet its target.
	latestStart time.Time
	// shape is the queue that holds the job, or nil if the job is not queued.
	shape     *shape
	heapIndex int
	seq       uint64 // seq orders the jobs by submission.
	// failedWorkers holds the workers that its tasks failed on.
	failedWorkers map[string]bool
	// backoff is the latest delay after a failed start. While delayed is set, the job is kept
	// out of the queue until notBefore.
	backoff    time.Duration
	notBefore  time.Time
	delayed    bool
	waitReason string
	started    time.Time
}

// gang reports whether all tasks must start together.
func (j *job) gang() bool { return j.rec.Spec.Kind == winch.Gang }

// urgent reports whether a caller is waiting for the job to start.
func (j *job) urgent() bool { return j.class.Wait > 0 }

// shape is a queue of jobs of one team that are equivalent for placement: if the first
// of them fits on no worker, none does.
type shape struct {
	shapeKey
	jobs shapeHeap
	// failedVersion is the planner's capacityVersion at which the first job last failed to
	// fit on any worker.
	failedVersion uint64
}

// shapeKey holds the properties that decide where a job's tasks fit.
type shapeKey struct {
	team        string
	need        winch.Resources
	urgent      bool
	preemptible bool // preemptible is set if the tasks may be checkpointed to free capacity.
	gangSize    int  // gangSize is the number of tasks that must start together, or zero.
	// runTimeBits is the order of magnitude of the run time, since a short job may be
	// backfilled on a reserved worker where a long one may not.
	runTimeBits int
	// separateJob is the ID of a job that avoids the workers on which it failed. Such a job
	// has a shape of its own.
	separateJob string
}

type shapeHeap []*job

// Len implements heap.Interface.
func (h shapeHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h shapeHeap) Less(i, k int) bool {
	if !h[i].latestStart.Equal(h[k].latestStart) {
		return h[i].latestStart.Before(h[k].latestStart)
	}
	return h[i].seq < h[k].seq
}

// Swap implements heap.Interface.
func (h shapeHeap) Swap(i, k int) {
	h[i], h[k] = h[k], h[i]
	h[i].heapIndex, h[k].heapIndex = i, k
}

// Push implements heap.Interface.
func (h *shapeHeap) Push(x any) {
	j := x.(*job)
	j.heapIndex = len(*h)
	*h = append(*h, j)
}

// Pop implements heap.Interface.
func (h *shapeHeap) Pop() any {
	old := *h
	j := old[len(old)-1]
	*h = old[:len(old)-1]
	return j
}

// queue holds the jobs that have tasks to start, grouped by shape.
type queue struct {
	shapes map[shapeKey]*shape
	order  []*shape // order holds the shapes in order of creation, so that runs are reproducible.
	tasks  int
}

func (q *queue) key(j *job) shapeKey {
	k := shapeKey{team: j.rec.Team, need: j.need, urgent: j.urgent(), preemptible: j.class.Preemptible}
	if j.gang() {
		k.gangSize = len(j.pending)
	}
	k.runTimeBits = bits.Len64(uint64(j.rec.Spec.RunTime / time.Second))
	if len(j.failedWorkers) > 0 {
		k.separateJob = j.rec.ID
	}
	return k
}

func (q *queue) push(j *job) {
	if j.shape != nil || len(j.pending) == 0 || j.held {
		return
	}
	k := q.key(j)
	s := q.shapes[k]
	if s == nil {
		s = &shape{shapeKey: k}
		q.shapes[k] = s
		q.order = append(q.order, s)
	}
	j.shape = s
	s.failedVersion = 0
	heap.Push(&s.jobs, j)
}

func (q *queue) remove(j *job) {
	if j.shape == nil {
		return
	}
	heap.Remove(&j.shape.jobs, j.heapIndex)
	j.shape = nil
}

// removeEmpty removes the shapes without jobs, so that unused shapes do not accumulate.
func (q *queue) removeEmpty() {
	kept := q.order[:0]
	for _, s := range q.order {
		if len(s.jobs) > 0 {
			kept = append(kept, s)
			continue
		}
		delete(q.shapes, s.shapeKey)
	}
	clear(q.order[len(kept):])
	q.order = kept
}
