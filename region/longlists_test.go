package region

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"plantainwinch/winch"
)

// Guards against a worker that gets no work any more: it lists as many completions as fit into a response, and the order
// to forget them was lost because its keeper was being replaced.
func TestWorkerWithALongListIsUsableAfterItsKeeperIsReplaced(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		w := newWorld(t, 97, 3, 9)
		settle()
		const id = "w0"
		l := w.planner().node.leadership.Load()
		replace := func(line string) {
			if !strings.Contains(line, "job looked up") {
				return
			}
			w.log.onLine.Store(nil)
			l.post(func() {
				l.dropKeeper(l.proxies[l.keepers[id]])
				l.reassignSoon()
			})
		}
		w.log.onLine.Store(&replace)
		for range 520 {
			w.complete(id, winch.RunID{Job: "00000000000000a1"}, 7)
		}
		time.Sleep(10 * time.Second)
		is.NoErr(l.duty.Do(w.ctx, func() { is.Equal(l.planner.Load().Usable, 9) }))
		is.Equal(w.listedCompletions(id), 0)
		w.end()
	})
}
