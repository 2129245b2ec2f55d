package region

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"plantainwinch/winch"
)

// Guards against accepted work that stands still for good: its queue is removed, and the planner that takes over has only
// seen configurations without it.
func TestAcceptedWorkOfARemovedQueueGoesOnAfterATakeover(t *testing.T) {
	t.Parallel()
	for name, lose := range map[string]func(p *simNode){"killed": (*simNode).kill, "stopped": (*simNode).stop} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, 93, 3, 3)
				settle()
				w.submit("00000000000000a1", simPhase(30), simPhase(4, 0))
				removed := simConfig(2)
				removed.Queues = removed.Queues[1:]
				w.setStore(func(s *simStore) { s.put("op/config", mustJSON(removed), 0) })
				time.Sleep(500 * time.Millisecond)
				planner := w.planner()
				lose(planner)
				if state := w.await("00000000000000a1", 20*time.Second); state != winch.JobDone {
					w.reportViolation("the job is %q", state)
				}
				w.end()
			})
		})
	}
}

// Guards against a job that a configuration has allowed and that is stored without the terms of its queue, or with those
// of an older configuration than the one that has allowed it.
func TestJobIsStoredWithTheTermsOfItsQueue(t *testing.T) {
	is := is.New(t)
	n := new(Node)
	config := simConfig(4)
	n.settings.config.Store(config)
	job := &winch.PhasedJob{Queue: "preview", Settings: 4}
	n.setTerms(job)
	is.Equal(job.Terms, config.Queues[0].Terms())
	var stored winch.PhasedJob
	is.NoErr(decode(encode(job), &stored))
	is.Equal(stored.Terms, job.Terms)

	later := &winch.PhasedJob{Queue: "preview", Settings: 5, Terms: &winch.QueueTerms{Service: "later"}}
	n.setTerms(later)
	is.Equal(later.Terms.Service, "later")
}
