package load

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/sourcegraph/conc"

	"plantainwinch/cell"
	"plantainwinch/stand"
	"plantainwinch/trans/front"
	"plantainwinch/winch"
)

// Mix holds the shares of the workloads, in percent of the arrivals.
type Mix struct {
	Preview, Invoice, Batch, Gang int
}

// DefaultMix returns a mix of mostly previews.
func DefaultMix() Mix { return Mix{Preview: 80, Invoice: 15, Batch: 4, Gang: 1} }

// Run is one load run of limited length. Set the exported fields, then call Do.
type Run struct {
	Target   *Target
	Rate     float64 // Rate is the number of arrivals per second, over all entries.
	Duration time.Duration
	Work     time.Duration // Work is the mean run time of a call.
	Body     int           // Body is the size of a call's body in bytes.
	Mix      Mix
	Seed     uint64
	// Outage is the length of an outage of the store in the middle of the run; zero means none.
	Outage time.Duration

	rnd        *rand.Rand
	mu         sync.Mutex
	histograms map[string]*hdrhistogram.Histogram
	requests   []*request
	pending    atomic.Int64
	skipped    int
	started    time.Time
	keyChanges keyChanges
}

// request is one arrival and its result.
type request struct {
	id          string
	class       string
	team        int
	job         bool
	at          time.Duration // at is when the request is due, from the start of the run.
	outcome     winch.Outcome
	reason      string
	wrongResult bool // wrongResult reports that the response belongs to another request, or that the job was lost.
	incomplete  bool // incomplete reports that the response was incomplete or missing.
	took        time.Duration
}

// maxPending bounds the requests in progress; further arrivals are counted as skipped.
const maxPending = 4000

// Bounds of the histograms, in microseconds, and their significant figures.
const (
	histMin     = 1
	histMax     = 120_000_000
	histFigures = 3
)

// Do executes the run and returns its report.
func (r *Run) Do(ctx context.Context) (*Report, error) {
	r.rnd = rand.New(rand.NewPCG(r.Seed, 11))
	r.histograms = make(map[string]*hdrhistogram.Histogram)
	before, err := r.Target.cost(ctx)
	if err != nil {
		return nil, err
	}
	cpu := cpuTime()
	r.started = time.Now()
	var group conc.WaitGroup
	if r.Outage > 0 {
		group.Go(func() { r.injectOutage(ctx) })
	}
	group.Go(func() { r.keyChanges.run(ctx, r.Target, r.Duration) })
	r.sendArrivals(ctx, &group)
	group.Wait()
	took := time.Since(r.started)
	cpu = cpuTime() - cpu
	after, err := r.Target.cost(ctx)
	if err != nil {
		return nil, err
	}
	if err := r.awaitJobs(ctx); err != nil {
		return nil, err
	}
	seen, err := r.Target.observe(ctx)
	if err != nil {
		return nil, err
	}
	return r.report(seen, after.sub(before), took, cpu), nil
}

// cpuTime returns the processor time of this process. It includes that of the cell if the cell runs in
// this process.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// injectOutage makes the store unavailable in the middle of the run.
func (r *Run) injectOutage(ctx context.Context) {
	time.Sleep((r.Duration - r.Outage) / 2)
	_ = r.Target.setFaults(ctx, stand.Faults{Down: true})
	time.Sleep(r.Outage)
	_ = r.Target.setFaults(ctx, stand.Faults{})
}

// sendArrivals sends requests at random times that do not depend on the responses, as independent
// callers do. A slow cell therefore gets no less load.
func (r *Run) sendArrivals(ctx context.Context, group *conc.WaitGroup) {
	next := time.Duration(0)
	for n := 0; ; n++ {
		next += time.Duration(r.rnd.ExpFloat64() / r.Rate * float64(time.Second))
		if next > r.Duration || ctx.Err() != nil {
			return
		}
		time.Sleep(next - time.Since(r.started))
		q := r.newRequest(n, next)
		if r.pending.Load() >= maxPending {
			r.skipped++
			continue
		}
		work := time.Duration(r.rnd.ExpFloat64() * float64(r.Work))
		address := r.Target.Callers[r.rnd.IntN(len(r.Target.Callers))]
		r.requests = append(r.requests, q)
		r.pending.Add(1)
		group.Go(func() {
			defer r.pending.Add(-1)
			r.execute(ctx, q, address, work)
		})
	}
}

// newRequest draws the class and the team of an arrival. Two of the teams send more than the others.
func (r *Run) newRequest(n int, at time.Duration) *request {
	q := &request{id: fmt.Sprintf("load-%d-%d", r.Seed, n), at: at}
	teams := len(r.Target.Teams) - 1 // The last team is not approved.
	if q.team = r.rnd.IntN(2 * teams); q.team >= teams {
		q.team %= 2
	}
	x := r.rnd.IntN(100)
	switch m := r.Mix; {
	case x < m.Preview:
		q.class = cell.ClassPreview
	case x < m.Preview+m.Invoice:
		q.class = cell.ClassInvoice
	case x < m.Preview+m.Invoice+m.Batch:
		q.class, q.job = "batch", true
	default:
		q.class, q.job = "gang", true
	}
	return q
}

// execute makes a request and records its result and time.
func (r *Run) execute(ctx context.Context, q *request, address string, work time.Duration) {
	begin := time.Now()
	if q.job {
		work = 0
		r.submit(ctx, q, address)
	} else {
		r.call(ctx, q, address, work)
	}
	q.took = time.Since(begin)
	if q.outcome == winch.Done {
		r.record(q.class, max(0, q.took-work))
	}
}

// record adds the time that a request took beyond its work to the histogram of its class.
func (r *Run) record(class string, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.histograms[class]
	if h == nil {
		h = hdrhistogram.New(histMin, histMax, histFigures)
		r.histograms[class] = h
	}
	_ = h.RecordValue(d.Microseconds())
}

// call makes a call and checks its response.
func (r *Run) call(ctx context.Context, q *request, address string, work time.Duration) {
	body := append([]byte(q.id+" "), bytes.Repeat([]byte("x"), r.Body)...)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/Call/"+cell.Service, bytes.NewReader(body))
	if err != nil {
		q.incomplete = true
		return
	}
	req.Header.Set("Authorization", "Bearer "+r.Target.Teams[q.team])
	req.Header.Set(front.ClassHeader, q.class)
	req.Header.Set(front.RequestIDHeader, q.id)
	req.Header.Set("Stand-Caller", q.id)
	req.Header.Set("Stand-Work", work.String())
	resp, err := r.Target.HTTP.Do(req)
	if err != nil {
		q.incomplete = true
		return
	}
	defer resp.Body.Close()
	response, err := io.ReadAll(resp.Body)
	if err != nil {
		q.incomplete = true
		return
	}
	q.reason = resp.Header.Get(front.ReasonHeader)
	q.outcome = winch.Outcome(resp.Header.Get(front.OutcomeHeader) + resp.Trailer.Get(front.OutcomeHeader))
	q.wrongResult = q.outcome == winch.Done && !bytes.Equal(response, body)
}
