package cell

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"text/tabwriter"
	"time"

	"github.com/ansel1/merry/v2"

	"plantainwinch/entry"
	"plantainwinch/trans/front"
	"plantainwinch/winch"
)

// jobTimeout bounds how long the demo waits for a job to end.
const jobTimeout = "20s"

// Step is the result of one step of the demo, printed as one row of its table.
type Step struct {
	Workload string
	Want     string
	Got      string
	Took     time.Duration
}

// OK reports whether the step had the expected outcome.
func (s Step) OK() bool { return s.Want == s.Got }

// demo runs one sample of every workload, as an external client over HTTP.
type demo struct {
	cell  *Cell
	keys  Keys
	steps []Step
}

// Demo runs one sample of every workload and prints a table of the outcomes. It returns an
// error if an outcome was not the expected one, a request did not run exactly once or a
// worker was overcommitted.
func (c *Cell) Demo(ctx context.Context, keys Keys, out io.Writer) error {
	d := &demo{cell: c, keys: keys}
	d.runCalls(ctx)
	d.runJobs(ctx)
	d.runKeyWithdrawal(ctx)
	if err := d.printTable(out); err != nil {
		return err
	}
	return d.check()
}

func (d *demo) runStep(workload, want string, f func() string) {
	started := time.Now()
	got := f()
	d.steps = append(d.steps, Step{Workload: workload, Want: want, Got: got, Took: time.Since(started)})
}

// callersAddress returns the callers' address of entry i, modulo the number of entries.
func (d *demo) callersAddress(i int) string {
	return d.cell.Servers[i%len(d.cell.Servers)].CallersAddress()
}

// call makes a call through one entry and returns its outcome, with the reason if there is one.
func (d *demo) call(ctx context.Context, entryIndex int, team, class, id, body string, header http.Header) string {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.callersAddress(entryIndex)+"/Call/"+Service, bytes.NewBufferString(body))
	if err != nil {
		return err.Error()
	}
	for name, values := range header {
		req.Header[name] = values
	}
	req.Header.Set("Authorization", "Bearer "+d.keys.Teams[team])
	req.Header.Set(front.ClassHeader, class)
	req.Header.Set(front.RequestIDHeader, id)
	req.Header.Set("Stand-Caller", id)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err.Error()
	}
	defer resp.Body.Close()
	response, err := io.ReadAll(resp.Body)
	if err != nil {
		return "response body truncated"
	}
	outcome := resp.Header.Get(front.OutcomeHeader) + resp.Trailer.Get(front.OutcomeHeader)
	if reason := resp.Header.Get(front.ReasonHeader); reason != "" {
		return outcome + " " + reason
	}
	if string(response) != body {
		return "response body differs from request body"
	}
	return outcome
}

func (d *demo) runCalls(ctx context.Context) {
	done := string(winch.Done)
	d.runStep("a call of team-1 through each entry", done, func() string {
		for i := range d.cell.Servers {
			if got := d.call(ctx, i, TeamName(0), ClassPreview, fmt.Sprint("preview-", i), fmt.Sprint("part ", i), nil); got != done {
				return got
			}
		}
		return done
	})
	d.runStep("a call with 1 MB of answer, streamed", done, func() string {
		return d.call(ctx, 1, TeamName(1), ClassPreview, "large", string(bytes.Repeat([]byte("la"), 1<<19)), nil)
	})
	d.runStep("an invoice", done, func() string {
		return d.call(ctx, 2, TeamName(0), ClassInvoice, "invoice-1", "lease 1", nil)
	})
	d.runStep("the same invoice through another entry", done, func() string {
		return d.call(ctx, 3, TeamName(0), ClassInvoice, "invoice-1", "lease 1", nil)
	})
	d.runStep("its id for another invoice", "NotRun DuplicateRequest", func() string {
		return d.call(ctx, 4, TeamName(0), ClassInvoice, "invoice-1", "lease 2", nil)
	})
	d.runStep("a call of a team that is not approved", "NotRun NotApproved", func() string {
		return d.call(ctx, 0, TeamName(teamCount-1), ClassPreview, "x", "part", nil)
	})
	d.runStep("a call past its deadline", "NotRun DeadlinePassed", func() string {
		return d.call(ctx, 0, TeamName(0), ClassPreview, "y", "part", http.Header{front.DeadlineHeader: {"-1s"}})
	})
}

func (d *demo) runJobs(ctx context.Context) {
	need := front.NeedBody{Processors: 2, Memory: "2GB"}
	job := func(id, class string, kind winch.JobKind, tasks int, command string) front.JobBody {
		return front.JobBody{RequestID: id, Class: class, Kind: kind, Tasks: tasks, Need: need, RunTime: "300ms", Command: command}
	}
	d.runStep("a batch job of 12 tasks", string(winch.JobDone), func() string {
		return d.runJob(ctx, job("batch-1", ClassMix, winch.Batch, 12, "echo mixed"), 0)
	})
	d.runStep("a gang of 24 tasks", string(winch.JobDone), func() string {
		return d.runJob(ctx, job("gang-1", ClassMix, winch.Gang, 24, "echo together"), 1)
	})
	d.runStep("a billed job, run at most once", string(winch.JobDone), func() string {
		return d.runJob(ctx, job("billed-1", ClassBilled, winch.Batch, 1, "echo billed"), 2)
	})
	d.runStep("a job that fails everywhere", string(winch.JobFailed), func() string {
		return d.runJob(ctx, job("bad-1", ClassMix, winch.Batch, 1, "fail"), 3)
	})
	d.runStep("a job larger than any worker", "NotRun NeverFits", func() string {
		b := job("huge-1", ClassMix, winch.Batch, 1, "echo")
		b.Need.Processors = 1000
		return d.runJob(ctx, b, 4)
	})
	d.runStep("a service, cancelled while it runs", string(winch.JobCancelled), func() string {
		b := job("room-1", ClassRoom, winch.LongRunning, 3, "echo open")
		b.RunTime = "1h"
		return d.runCancelledJob(ctx, b)
	})
}

// request sends a request to the callers' interface of one entry and decodes the response. It
// returns the empty string, or the outcome and reason or the error of a failed request.
func (d *demo) request(ctx context.Context, method, path string, entryIndex int, body, into any) string {
	data, err := json.Marshal(body)
	if err != nil {
		return err.Error()
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+d.callersAddress(entryIndex)+path, bytes.NewReader(data))
	if err != nil {
		return err.Error()
	}
	req.Header.Set("Authorization", "Bearer "+d.keys.Teams[TeamName(0)])
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err.Error()
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusBadRequest {
		var e front.ErrorBody
		_ = json.NewDecoder(resp.Body).Decode(&e)
		return string(e.Outcome) + " " + string(e.Reason)
	}
	if err := json.NewDecoder(resp.Body).Decode(into); err != nil {
		return err.Error()
	}
	return ""
}

// runJob submits a job to one entry, waits for its end at the next one and returns its final
// state.
func (d *demo) runJob(ctx context.Context, body front.JobBody, entryIndex int) string {
	var rec winch.Job
	if failure := d.request(ctx, http.MethodPost, "/Jobs", entryIndex, body, &rec); failure != "" {
		return failure
	}
	var view entry.JobView
	if failure := d.request(ctx, http.MethodGet, "/Jobs/"+rec.ID+"?Wait="+jobTimeout, entryIndex+1, nil, &view); failure != "" {
		return failure
	}
	return string(view.State)
}

// runCancelledJob submits a job, cancels it once all of its tasks run, waits for its end and
// returns its final state.
func (d *demo) runCancelledJob(ctx context.Context, body front.JobBody) string {
	var rec winch.Job
	if failure := d.request(ctx, http.MethodPost, "/Jobs", 0, body, &rec); failure != "" {
		return failure
	}
	var view entry.JobView
	for range 100 {
		if failure := d.request(ctx, http.MethodGet, "/Jobs/"+rec.ID, 1, nil, &view); failure != "" {
			return failure
		}
		if view.Running == body.Tasks {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	if failure := d.request(ctx, http.MethodDelete, "/Jobs/"+rec.ID, 2, nil, &view); failure != "" {
		return failure
	}
	if failure := d.request(ctx, http.MethodGet, "/Jobs/"+rec.ID+"?Wait="+jobTimeout, 3, nil, &view); failure != "" {
		return failure
	}
	return string(view.State)
}

func (d *demo) runKeyWithdrawal(ctx context.Context) {
	d.runStep("a call with a key that was just withdrawn", "NotRun UnknownKey", func() string {
		operator := entry.Actor{Name: "operator", Role: winch.KeyOperator}
		key, _, r := d.cell.Servers[0].Entry.IssueKey(ctx, operator, winch.KeyTeam, TeamName(0))
		if !r.OK() {
			return r.Detail
		}
		old := d.keys.Teams[TeamName(0)]
		d.keys.Teams[TeamName(0)] = key
		defer func() { d.keys.Teams[TeamName(0)] = old }()
		if got := d.call(ctx, 5, TeamName(0), ClassPreview, "before", "part", nil); got != string(winch.Done) {
			return got
		}
		if r := d.cell.Withdraw(ctx, key); !r.OK() {
			return r.Detail
		}
		return d.call(ctx, 5, TeamName(0), ClassPreview, "after", "part", nil)
	})
}

func (d *demo) printTable(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "WORKLOAD\tOUTCOME\tEXPECTED\tTOOK\t")
	for _, s := range d.steps {
		mark := ""
		if !s.OK() {
			mark = "WRONG"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", s.Workload, s.Got, s.Want, s.Took.Round(time.Millisecond), mark)
	}
	return merry.Wrap(w.Flush())
}

// check returns an error unless each step had the expected outcome, the executors ran each
// request exactly once and no worker was overcommitted.
func (d *demo) check() error {
	for _, s := range d.steps {
		if !s.OK() {
			return merry.Errorf("%s: outcome is %s, expected %s", s.Workload, s.Got, s.Want)
		}
	}
	runs := make(map[string]int)
	for _, e := range d.cell.Executors {
		for id, n := range e.Counts().Runs {
			runs[id] += n
		}
	}
	for id, n := range runs {
		if n != 1 {
			return merry.Errorf("request %s ran %d times", id, n)
		}
	}
	for _, w := range d.cell.Workers {
		if n := w.Counts().Overcommitted; n > 0 {
			return merry.Errorf("worker %s was overcommitted %d times", w.VM.ID, n)
		}
	}
	return nil
}
