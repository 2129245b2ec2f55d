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

// Guards against ended jobs that are stored under the keys that a planner reads when it takes over.
// On a slow link the planner would never finish reading them.
func TestEndedJobsAreStoredSeparately(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		w := newWorld(t, 61, 3, 9)
		settle()
		for _, id := range w.submitJobs(0, 8) {
			w.await(id, 20*time.Second)
		}
		is.Equal(len(w.keysUnder(prefixJobs))+len(w.keysUnder(prefixProgress))+len(w.keysUnder(prefixCommands)), 0)
		is.Equal(len(w.keysUnder(prefixEnded)), 8)
		w.end()
	})
}

// Guards against a job that runs a second time because it is submitted again with the same ID after
// it has ended and its key has been removed.
func TestResubmittedEndedJobDoesNotRunAgain(t *testing.T) {
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

// Guards against a job that runs a second time after a takeover. An entry reads the job, the job
// ends, another planner takes over, and only then the entry's message about the job arrives. The
// new planner does not know the job.
func TestJobEndedBeforeTakeoverDoesNotRunAgain(t *testing.T) {
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
		w.stopAsPlanned(first, 2*time.Second, 300*time.Millisecond)
		for w.planner() == nil || w.planner() == first {
			time.Sleep(5 * time.Millisecond)
		}
		starts := w.log.count("run start ordered\t{\"job\": \"" + id)
		w.planner().node.applyAsPlanner(proto.AcceptedJobs{Jobs: []proto.AcceptedJob{{Job: *s.job, Revision: s.job.Revision}}})
		time.Sleep(3 * time.Second)
		state, result := w.planner().node.State(w.ctx, id)
		is.True(result.OK())
		is.Equal(state, winch.JobDone)
		is.Equal(w.log.count("run start ordered\t{\"job\": \""+id), starts)
		w.end()
	})
}

// Guards against waiting jobs that never run because no entry knows their commands. All entries
// are killed, so that only the store still holds them.
func TestCommandsAreReadFromStoreAfterAllEntriesWereKilled(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		w := newWorld(t, 64, 3, 9)
		settle()
		ids := w.submitJobs(0, 8)
		w.restartAll()
		for _, id := range ids {
			is.True(w.await(id, 40*time.Second).Final())
		}
		w.end()
	})
}

// Guards against waiting jobs that cannot start during a store outage. All entries are killed and
// restarted, and the store fails a little later. Only the killed processes, which had accepted the
// jobs, knew the commands, so the planner has to read them from the store before the outage.
func TestCommandsAreKnownDuringStoreOutage(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		w := newWorld(t, 66, 3, 9)
		settle()
		const id = "00000000000000b3"
		waiting := simPhase(1)
		waiting.Label = "none" // No worker has this label, so no keeper requests the command.
		w.submit(id, waiting)
		w.restartAll()
		for w.planner() == nil {
			time.Sleep(5 * time.Millisecond)
		}
		time.Sleep(2 * time.Second)
		w.setStoreUnavailable(true)
		_, known := w.planner().node.commands.Get(id)
		is.True(known)
		w.end()
	})
}

// Guards against a slow takeover, in which the standby reads all jobs from the store although it could
// have read them before.
func TestStandbyDoesNotReadJobsFromStoreAtTakeover(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		w := newWorld(t, 65, 3, 9)
		settle()
		w.startLasting("00000000000000a1", 12)
		time.Sleep(5 * time.Second)
		read := make(map[string]bool)
		w.setStore(func(s *simStore) {
			s.onRead = func(host, prefix string) { read[host] = read[host] || prefix == prefixJobs }
		})
		first := w.planner()
		w.stopAsPlanned(first, 2*time.Second, 300*time.Millisecond)
		for w.planner() == nil || w.planner() == first {
			time.Sleep(5 * time.Millisecond)
		}
		w.store.mu.Lock()
		is.True(!read[w.planner().host])
		w.store.mu.Unlock()
		time.Sleep(3 * time.Second)
		is.Equal(w.runningLasting(), 12)
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

// Guards against runs that are repeated after a takeover. The store returns only some of the
// pending changes in one response. A standby that considers itself current after the first
// response takes over with outdated progress and runs ended tasks again.
func TestStandbyCatchesUpOverPartialResponses(t *testing.T) {
	t.Parallel()
	for seed := range uint64(5) {
		synctest.Test(t, func(t *testing.T) {
			is := is.NewRelaxed(t)
			w := newWorld(t, 70+seed, 3, 9)
			settle()
			w.setStore(func(s *simStore) { s.maxChanges = 3 })
			var ids []string
			for i := range 30 {
				ids = append(ids, w.submitJobs(i, i+1)...)
				time.Sleep(100 * time.Millisecond)
				if i%10 == 9 {
					w.stopAsPlanned(w.planner(), 2*time.Second, 300*time.Millisecond)
				}
			}
			for _, id := range ids {
				is.True(w.await(id, 60*time.Second).Final())
			}
			w.end()
		})
	}
}
