package region

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"plantainwinch/proto"
	"plantainwinch/winch"
)

// cancelLimit is how long after an acknowledged cancellation a task of the job may run, without faults.
const cancelLimit = 3900 * time.Millisecond

// newWorldOfLargeWorkers starts a region with one worker in each failure domain, on which hundreds of tasks fit.
func newWorldOfLargeWorkers(t *testing.T, seed uint64) *world {
	w := newWorld(t, seed, 3, 0)
	for i := range 3 {
		vm := simVM(fmt.Sprintf("w%d", i), fmt.Sprintf("w%d", i), fmt.Sprintf("d%d", i))
		vm.Room.Milli = 300 * taskMilli
		w.bootWorker(vm, 0)
	}
	settle()
	return w
}

// runsOf returns how many runs of a job go on at all workers.
func (w *world) runsOf(id string) (n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, x := range w.workers {
		x.mu.Lock()
		for key := range x.runs {
			if key.task.Job == id {
				n++
			}
		}
		x.mu.Unlock()
	}
	return n
}

// awaitRuns waits until a number of runs of a job go on.
func (w *world) awaitRuns(id string, count int, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if w.runsOf(id) == count {
			return true
		}
	}
	return false
}

// Guards against tasks of a cancelled job that run on: a worker has more of them than orders that may wait for it.
func TestJobWithHundredsOfTasksOnAWorkerIsCancelled(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		const id, other = "00000000000000a1", "00000000000000a2"
		w := newWorldOfLargeWorkers(t, 81)
		for job, count := range map[string]int{id: 600, other: 60} {
			w.acceptLasting(job, count)
			is.True(w.awaitRuns(job, count, 20*time.Second))
		}
		is.True(w.planner().node.Cancel(w.ctx, id).OK())
		time.Sleep(cancelLimit)
		is.Equal(w.runsOf(id), 0)
		is.Equal(w.runsOf(other), 60)
		w.end()
	})
}

// Guards against tasks of cancelled jobs that run on after faults: jobs of hundreds of tasks are cancelled, several at once, while links
// break, workers don't respond and planners change.
func TestRandomCancellations(t *testing.T) {
	t.Parallel()
	for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				w := newWorldOfLargeWorkers(t, seed)
				var ids []string
				for i := range 4 {
					id := fmt.Sprintf("%016x", i+1)
					ids = append(ids, id)
					w.acceptLasting(id, 100+w.intn(120))
				}
				time.Sleep(5 * time.Second)
				faults := make(chan struct{})
				w.group.Go(func() {
					defer close(faults)
					w.playCancelFaults(3)
				})
				time.Sleep(time.Duration(w.intn(3000)) * time.Millisecond)
				for _, id := range ids {
					w.cancelJob(id)
				}
				<-faults
				time.Sleep(8*time.Second + cancelLimit)
				for _, id := range ids {
					if n := w.runsOf(id); n > 0 {
						w.mu.Lock()
						w.reportViolation("%d tasks of the cancelled job %s run on", n, id)
						w.mu.Unlock()
					}
				}
				w.end()
			})
		})
	}
}

// cancelJob cancels a job at random entries until one acknowledges it, if only by saying that there is no such job.
func (w *world) cancelJob(id string) {
	for w.ctx.Err() == nil {
		w.mu.Lock()
		n := w.randomNode().node
		w.mu.Unlock()
		if n != nil {
			if result := n.Cancel(w.ctx, id); result.OK() || result.Reason == winch.UnknownJob {
				return
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// playCancelFaults injects faults of links, workers and planners, one after the other.
func (w *world) playCancelFaults(steps int) {
	for range steps {
		length := time.Duration(200+w.intn(2000)) * time.Millisecond
		switch w.intn(5) {
		case 0:
			x := w.randomFirstBoot()
			w.setUnresponsive(x.vm.ID, true)
			time.Sleep(length)
			w.setUnresponsive(x.vm.ID, false)
		case 1:
			domain := w.randomNode().domain
			w.breakLinks(domain, true)
			time.Sleep(length)
			w.breakLinks(domain, false)
		case 2:
			if p := w.planner(); p != nil {
				w.killAndRestart(p, length/4)
			}
		case 3:
			lost := 0
			w.setRequestLoss(func(_, _ string, kind winch.Kind) bool {
				lost++
				return kind == proto.KindKeeperPoll && lost%5 == 0
			})
			time.Sleep(length)
			w.setRequestLoss(nil)
		case 4:
			x := w.randomFirstBoot()
			x.mu.Lock()
			x.losesResponses = true
			x.mu.Unlock()
			time.Sleep(length)
			x.mu.Lock()
			x.losesResponses = false
			x.mu.Unlock()
		}
		time.Sleep(time.Duration(w.intn(1000)) * time.Millisecond)
	}
}
