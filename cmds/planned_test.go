package cmds

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"plantainwinch/winch"
)

// TestProcessPlannedStopInterruptsNoCall guards against calls that a planned stop interrupts. An entry gets SIGTERM
// while callers send calls through it. The load balancer notices only after a delay that the entry is not ready. Until
// then every call must end completely or be refused as not run.
func TestProcessPlannedStopInterruptsNoCall(t *testing.T) {
	is := is.New(t)
	p := newProcessCell(t, "a", "b")
	var group conc.WaitGroup
	var mu sync.Mutex
	interrupted, done := []callResponse{}, 0
	var ready atomic.Bool
	ready.Store(true)
	for i := range 8 {
		group.Go(func() {
			for n := 0; ready.Load(); n++ {
				got := p.call("a", "preview", fmt.Sprintf("c%d-%d", i, n), "part", http.Header{"Stand-Work": {"50ms"}})
				mu.Lock()
				if got.outcome == "Done" && got.body == "part" && got.err == nil {
					done++
				} else if got.outcome != "NotRun" {
					interrupted = append(interrupted, got)
				}
				mu.Unlock()
			}
		})
	}
	group.Go(func() { // The load balancer polls every 100 ms and sends no calls to an entry that is not ready.
		for p.request(http.MethodGet, "http://"+p.addresses["a"]+"/Ready", "", nil, nil) == nil {
			time.Sleep(100 * time.Millisecond)
		}
		ready.Store(false)
	})
	p.await("calls to be served", func() bool { mu.Lock(); defer mu.Unlock(); return done > 50 })
	p.signal("a", syscall.SIGTERM)
	is.NoErr(p.processes["a"].Wait())
	delete(p.processes, "a")
	group.Wait()
	for _, b := range interrupted {
		t.Errorf("interrupted call: %+v: %v", b, b.err)
	}
	is.Equal(p.call("b", "preview", "after", "x", nil).outcome, "Done")
	job := p.submit("b", "mix", "after", 4, "10ms")
	is.Equal(p.awaitJob("b", job.ID).State, winch.JobDone)
}
