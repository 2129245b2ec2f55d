package region

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"plantainwinch/proto"
	"plantainwinch/winch"
)

// keysUnder returns the keys of the store under a prefix.
func (w *world) keysUnder(prefix string) (out []string) {
	w.store.mu.Lock()
	defer w.store.mu.Unlock()
	for key := range w.store.items {
		if strings.HasPrefix(key, prefix) {
			out = append(out, key)
		}
	}
	return out
}

// A planner that takes over reads all jobs that have ended, too, and on a thin link it never
// gets to the end of them.
func TestWhatEndedIsNotReadWithWhatLives(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		w := newWorld(t, 61, 3, 9)
		settle()
		for _, id := range w.jobs(0, 8) {
			w.await(id, 20*time.Second)
		}
		is.Equal(len(w.keysUnder(prefixJobs))+len(w.keysUnder(prefixProgress))+len(w.keysUnder(prefixCommands)), 0)
		is.Equal(len(w.keysUnder(prefixEnded)), 8)
		w.end()
	})
}

// The same submission comes again after its job has ended and its record is gone. It would
// run a second time.
func TestSubmissionAfterTheEndIsTheSame(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		w := newWorld(t, 62, 3, 9)
		settle()
		const id = "00000000000000b1"
		w.submit(id, simPhase(1))
		is.Equal(w.await(id, 20*time.Second), winch.JobDone)
		w.submit(id, simPhase(1))
		time.Sleep(5 * time.Second)
		is.Equal(len(w.keysUnder(keyJob(id))), 0)
		w.end()
	})
}

// An entry reads a job, the job ends, another planner takes over, and the entry's message of
// the job reaches that one, which has never heard of it: it would run all of it again.
func TestJobThatEndedBeforeTheTakeoverIsNotStartedAgain(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		w := newWorld(t, 63, 3, 9)
		settle()
		const id = "00000000000000b2"
		w.submit(id, simPhase(1))
		entry := w.nodes["d0-0"].node
		s, ended, err := entry.readJob(w.ctx, id)
		is.NoErr(err)
		is.True(s.job != nil && ended == nil)
		is.Equal(w.await(id, 20*time.Second), winch.JobDone)
		first := w.planner()
		w.stopsAsPlanned(first, 2*time.Second, 300*time.Millisecond)
		for w.planner() == nil || w.planner() == first {
			time.Sleep(5 * time.Millisecond)
		}
		starts := w.log.count("start\t{\"job\": \"" + id)
		w.planner().node.forLead(proto.Accepted{Jobs: []proto.AcceptedJob{{Job: *s.job, Revision: s.job.Revision}}})
		time.Sleep(3 * time.Second)
		state, result := w.planner().node.State(w.ctx, id)
		is.True(result.OK())
		is.Equal(state, winch.JobDone)
		is.Equal(w.log.count("start\t{\"job\": \""+id), starts)
		w.end()
	})
}

// All entries are killed, so that nobody knows what the jobs that wait are to run but the
// store.
func TestCommandsAreReadFromTheStoreAfterAllWereKilled(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		w := newWorld(t, 64, 3, 9)
		settle()
		ids := w.jobs(0, 8)
		w.restartAll()
		for _, id := range ids {
			is.True(w.await(id, 40*time.Second).Final())
		}
		w.end()
	})
}

// All entries are killed, and a little later the store is away. What the jobs that wait are to
// run was known to those that had accepted them only, and nothing of them could start.
func TestCommandsAreKnownWhileTheStoreIsAway(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		w := newWorld(t, 66, 3, 9)
		settle()
		const id = "00000000000000b3"
		waits := simPhase(1)
		waits.Label = "none" // No worker has it, so no keeper asks for the command.
		w.submit(id, waits)
		w.restartAll()
		for w.planner() == nil {
			time.Sleep(5 * time.Millisecond)
		}
		time.Sleep(2 * time.Second)
		w.setDown(true)
		_, known := w.planner().node.commands.Get(id)
		is.True(known)
		w.end()
	})
}

// The standby takes over and reads all jobs from the store, though it could have had them.
func TestStandbyReadsOnlyWhatCameAfter(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		w := newWorld(t, 65, 3, 9)
		settle()
		w.last("00000000000000a1", 12)
		time.Sleep(5 * time.Second)
		read := make(map[string]bool)
		w.store.mu.Lock()
		w.store.onRead = func(host, prefix string) { read[host] = read[host] || prefix == prefixJobs }
		w.store.mu.Unlock()
		first := w.planner()
		w.stopsAsPlanned(first, 2*time.Second, 300*time.Millisecond)
		for w.planner() == nil || w.planner() == first {
			time.Sleep(5 * time.Millisecond)
		}
		w.store.mu.Lock()
		is.True(!read[w.planner().host])
		w.store.mu.Unlock()
		time.Sleep(3 * time.Second)
		is.Equal(w.lastingUp(), 12)
		w.end()
	})
}

// restartAll kills all entries and starts them again.
func (w *world) restartAll() {
	for _, n := range w.nodes {
		n.kill()
	}
	for _, n := range w.nodes {
		n.start()
	}
}

// The store tells but some of the changes in an answer. A standby that takes the first answer
// for all of them takes over with old progress, and runs a second time what has ended.
func TestStandbyCatchesUpByAllAnswers(t *testing.T) {
	t.Parallel()
	for seed := range uint64(5) {
		synctest.Test(t, func(t *testing.T) {
			is := is.NewRelaxed(t)
			w := newWorld(t, 70+seed, 3, 9)
			settle()
			w.store.mu.Lock()
			w.store.most = 3
			w.store.mu.Unlock()
			var ids []string
			for i := range 30 {
				ids = append(ids, w.jobs(i, i+1)...)
				time.Sleep(100 * time.Millisecond)
				if i%10 == 9 {
					w.stopsAsPlanned(w.planner(), 2*time.Second, 300*time.Millisecond)
				}
			}
			for _, id := range ids {
				is.True(w.await(id, 60*time.Second).Final())
			}
			w.end()
		})
	}
}
