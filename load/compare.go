package load

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/ansel1/merry/v2"
	"github.com/sourcegraph/conc"

	"plantainwinch/cell"
	"plantainwinch/trans/front"
	"plantainwinch/winch"
)

// Route is the route of a call to an executor.
type Route string

// The compared routes: from the caller directly, through an entry that holds a slot of the executor,
// and through an entry that gets the slot from another entry.
const (
	Direct Route = "direct"
	Local  Route = "entry, own slot"
	OneHop Route = "entry, one hop"
)

// RouteResult holds the measurements of one route.
type RouteResult struct {
	Way      Route
	Calls    int64
	Rate     float64 // Rate is the number of calls per second with all callers busy.
	P50, P99 int64   // P50 and P99 are percentiles of the time of a call with one caller, in microseconds.
	Failed   int64
}

// CompareCellSize returns the size of the cell for Compare. All executors are in the first failure domain,
// so that a call through the entry of the second one always takes a hop.
func CompareCellSize() cell.Size {
	return cell.Size{
		Domains: 2, EntriesPerDomain: 1, Executors: 32, Slots: 8, Connections: 64, ExecutorDomains: 1,
		Workers: 2, RackSize: 8, WorkerSize: winch.Resources{Processors: 4, Memory: 4 << 30},
	}
}

// concurrentCallers is the number of concurrent callers, warmUpCalls the number of calls over each
// route before the measurement, during which entries acquire slots.
const (
	concurrentCallers = 64
	warmUpCalls       = 3000
)

// Compare measures the three routes in turn, for several rounds, so that other load on the machine
// affects all of them equally. The length applies to each measurement of throughput.
func Compare(ctx context.Context, t *Target, length time.Duration, rounds int) ([]RouteResult, error) {
	execs, err := t.backends(ctx, winch.RoleExecutor)
	if err != nil {
		return nil, err
	}
	var next atomic.Int64
	urls := map[Route]func() string{
		Direct: func() string { return "http://" + execs[int(next.Add(1))%len(execs)].Address + "/" },
		Local:  func() string { return "http://" + t.Callers[0] + "/Call/" + cell.Service },
		OneHop: func() string { return "http://" + t.Callers[1] + "/Call/" + cell.Service },
	}
	routes := []Route{Direct, Local, OneHop}
	out := make([]RouteResult, len(routes))
	hists := make([]*hdrhistogram.Histogram, len(routes))
	for i, route := range routes {
		out[i].Way = route
		hists[i] = hdrhistogram.New(histMin, histMax, histFigures)
		for range warmUpCalls {
			_ = t.call(ctx, urls[route]())
		}
	}
	var busy [3]time.Duration
	for range rounds {
		for i, route := range routes {
			out[i].Failed += t.measureLatency(ctx, urls[route], length/4, hists[i])
			begin := time.Now()
			done, failed := t.measureThroughput(ctx, urls[route], length)
			busy[i] += time.Since(begin)
			out[i].Calls += done
			out[i].Failed += failed
		}
	}
	for i := range out {
		out[i].Rate = float64(out[i].Calls) / busy[i].Seconds()
		out[i].P50, out[i].P99 = hists[i].ValueAtQuantile(50), hists[i].ValueAtQuantile(99)
	}
	return out, nil
}

// compareBody is the body of a compared call.
var compareBody = bytes.Repeat([]byte("x"), 256)

// call makes one call and reads its response, which must have status 200.
func (t *Target) call(ctx context.Context, url string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(compareBody))
	if err != nil {
		return merry.Wrap(err)
	}
	req.Header.Set("Authorization", "Bearer "+t.Teams[0])
	req.Header.Set(front.ClassHeader, cell.ClassPreview)
	resp, err := t.HTTP.Do(req)
	if err != nil {
		return merry.Wrap(err)
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return merry.Wrap(err)
	}
	if resp.StatusCode != http.StatusOK {
		return merry.New(resp.Status)
	}
	return nil
}

// measureLatency measures calls that are made one after the other.
func (t *Target) measureLatency(ctx context.Context, url func() string, length time.Duration, h *hdrhistogram.Histogram) (failed int64) {
	until := time.Now().Add(length)
	for time.Now().Before(until) {
		begin := time.Now()
		if t.call(ctx, url()) != nil {
			failed++
			continue
		}
		_ = h.RecordValue(time.Since(begin).Microseconds())
	}
	return failed
}

// measureThroughput counts the completed and the failed calls of concurrentCallers callers.
func (t *Target) measureThroughput(ctx context.Context, url func() string, length time.Duration) (int64, int64) {
	var done, failed atomic.Int64
	until := time.Now().Add(length)
	var group conc.WaitGroup
	for range concurrentCallers {
		group.Go(func() {
			for time.Now().Before(until) {
				if t.call(ctx, url()) != nil {
					failed.Add(1)
				} else {
					done.Add(1)
				}
			}
		})
	}
	group.Wait()
	return done.Load(), failed.Load()
}

// PrintRoutes writes the routes and their ratios to the first one, the direct route.
func PrintRoutes(to io.Writer, results []RouteResult) error {
	w := tabwriter.NewWriter(to, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "WAY\tCALLS/S\tRATIO\tP50\tRATIO\tP99\tRATIO\tCALLS\tFAILED")
	base := results[0]
	for _, s := range results {
		us := func(n int64) string { return (time.Duration(n) * time.Microsecond).String() }
		fmt.Fprintf(w, "%s\t%.0f\t%.2f\t%s\t%.2f\t%s\t%.2f\t%d\t%d\n", s.Way, s.Rate, s.Rate/base.Rate,
			us(s.P50), float64(s.P50)/float64(base.P50), us(s.P99), float64(s.P99)/float64(base.P99), s.Calls, s.Failed)
	}
	return merry.Wrap(w.Flush())
}
