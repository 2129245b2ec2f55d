package cell

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"plantainwinch/trans/front"
	"plantainwinch/winch"
)

// balancer selects entries that are ready, as the platform's load balancer does. It checks
// the readiness of the entries every 100 ms.
type balancer struct {
	mu    sync.Mutex
	ready map[string]bool
	next  int
}

func (b *balancer) watch(ctx context.Context, addresses []string) {
	for ctx.Err() == nil {
		for _, a := range addresses {
			resp, err := http.Get("http://" + a + "/Ready")
			ok := err == nil && resp.StatusCode == http.StatusOK
			if err == nil {
				_ = resp.Body.Close()
			}
			b.mu.Lock()
			b.ready[a] = ok
			b.mu.Unlock()
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func (b *balancer) pick(addresses []string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	for range addresses {
		b.next++
		if a := addresses[b.next%len(addresses)]; b.ready[a] {
			return a
		}
	}
	return ""
}

// All entry VMs are replaced one after the other while callers send requests. No call may be
// interrupted or get the response to another one, and no invoice may run twice. An entry that
// stops before its calls are done would interrupt them; an entry that repeats calls of a
// stopped one would run invoices twice.
func TestRollingReplacement(t *testing.T) {
	is := is.New(t)
	c := &Cell{Size: Size{
		Domains: 3, EntriesPerDomain: 2, Executors: 6, Slots: 8, Connections: 64, Workers: 3, RackSize: 2,
		WorkerSize: winch.Resources{Processors: 8, Memory: 8 << 30},
	}}
	is.NoErr(c.Start())
	defer c.Stop()
	keys, err := c.Configure(t.Context())
	is.NoErr(err)
	var addresses []string
	for _, s := range c.Servers {
		addresses = append(addresses, s.CallersAddress())
	}
	b := &balancer{ready: make(map[string]bool)}
	watching, stopWatching := context.WithCancel(t.Context())
	calling, stopCalling := context.WithCancel(t.Context())
	var group conc.WaitGroup
	group.Go(func() { b.watch(watching, addresses) })
	r := &callRecorder{t: t, key: keys.Teams[TeamName(0)], outcomes: make(map[string]int)}
	for i := range 6 {
		group.Go(func() {
			for n := 0; calling.Err() == nil; n++ {
				if address := b.pick(addresses); address != "" {
					r.call(address, fmt.Sprintf("r%d-%d", i, n), i%2 == 0)
				}
			}
		})
	}
	for i := range c.Servers {
		time.Sleep(200 * time.Millisecond)
		c.StopEntry(i)
		is.NoErr(c.StartEntry(i))
		is.NoErr(c.waitReady())
	}
	stopCalling()
	stopWatching()
	group.Wait()
	r.check(c)
}

// callRecorder makes calls and records their outcomes.
type callRecorder struct {
	t          *testing.T
	key        string
	mu         sync.Mutex
	outcomes   map[string]int
	invoiceIDs []string
}

func (r *callRecorder) call(address, id string, invoice bool) {
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/Call/"+Service, bytes.NewBufferString(id))
	if err != nil {
		r.t.Error(err)
		return
	}
	class := ClassPreview
	if invoice {
		class = ClassInvoice
	}
	req.Header.Set("Authorization", "Bearer "+r.key)
	req.Header.Set(front.ClassHeader, class)
	req.Header.Set(front.RequestIDHeader, id)
	req.Header.Set("Stand-Caller", id)
	req.Header.Set("Stand-Work", "20ms")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		r.t.Errorf("call %s was interrupted: %v", id, err)
		return
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	outcome := resp.Header.Get(front.OutcomeHeader)
	if err != nil || outcome == string(winch.Done) && string(body) != id {
		r.t.Errorf("call %s: error %v, response %q", id, err, body)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes[outcome+" "+resp.Header.Get(front.ReasonHeader)]++
	if invoice {
		r.invoiceIDs = append(r.invoiceIDs, id)
	}
}

func (r *callRecorder) check(c *Cell) {
	r.t.Logf("outcomes: %v", r.outcomes)
	for name := range r.outcomes {
		if name[:4] != "Done" && name[:6] != "NotRun" {
			r.t.Errorf("unexpected outcome %s during a planned replacement", name)
		}
	}
	if r.outcomes["Done "] == 0 {
		r.t.Error("no call was done")
	}
	runs := make(map[string]int)
	for _, e := range c.Executors {
		for id, n := range e.Counts().Runs {
			runs[id] += n
		}
	}
	for _, id := range r.invoiceIDs {
		if runs[id] > 1 {
			r.t.Errorf("invoice %s ran %d times", id, runs[id])
		}
	}
}
