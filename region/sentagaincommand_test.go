package region

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"plantainwinch/winch"
)

// Guards against a task that is started with the command of an earlier job of the same ID.
func TestJobThatIsSentAgainHasItsOwnCommand(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		const id = "00000000000000a1"
		w := newWorld(t, 613, 3, 9)
		settle()
		w.submit(id, simPhase(1))
		is.Equal(w.await(id, 20*time.Second), winch.JobDone)
		time.Sleep(retained)
		w.forgetTasks()
		w.submitJob(&winch.PhasedJob{ID: id, Queue: "preview", Team: "choir", Command: "other work", Phases: []winch.Phase{simPhase(1)}})
		is.Equal(w.await(id, 20*time.Second), winch.JobDone)
		for host, n := range w.nodes {
			if text, known := n.node.commands.Get(id); known && text != "other work" {
				t.Errorf("%s has the command %q", host, text)
			}
		}
		w.end()
	})
}
