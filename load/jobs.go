package load

import (
	"bytes"
	"context"
	"net/http"
	"sync"
	"time"

	"plantainwinch/cell"
	"plantainwinch/entry"
	"plantainwinch/state/ledger"
	"plantainwinch/trans/front"
	"plantainwinch/winch"
)

// jobsTimeout bounds the wait for the completion of all jobs after the run.
const jobsTimeout = 60 * time.Second

// taskRunTime is the declared run time of a task.
const taskRunTime = "500ms"

// submit submits a job to an entry.
func (r *Run) submit(ctx context.Context, q *request, address string) {
	body := front.JobBody{
		RequestID: q.id, Class: cell.ClassMix, Kind: winch.Batch, Tasks: 4, RunTime: taskRunTime, Command: "echo " + q.id,
		Need: front.NeedBody{Processors: 1, Memory: "1GB"},
	}
	if q.class == "gang" {
		body.Kind, body.Tasks = winch.Gang, 8
	}
	resp, err := r.Target.send(ctx, http.MethodPost, "http://"+address+"/Jobs", r.Target.Teams[q.team], body)
	if err != nil {
		q.incomplete = true
		return
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusAccepted {
		q.outcome = winch.Done
		return
	}
	q.outcome, q.reason = winch.Outcome(resp.Header.Get(front.OutcomeHeader)), resp.Header.Get(front.ReasonHeader)
}

// awaitJobs waits until all accepted jobs are final and records how long each waited for its start.
// A job that cannot be found, is not done or lacks a task counts as lost.
func (r *Run) awaitJobs(ctx context.Context) error {
	until := time.Now().Add(jobsTimeout)
	for _, q := range r.requests {
		if !q.job || q.outcome != winch.Done {
			continue
		}
		for {
			view, err := r.fetchJob(ctx, q)
			if err == nil && view.State.Final() {
				q.wrongResult = view.State != winch.JobDone || len(view.EndedTasks) != view.Spec.Tasks
				r.record(q.class+" start", max(0, view.Started.Sub(view.Submitted)))
				break
			}
			if time.Now().After(until) {
				q.wrongResult = true
				break
			}
		}
	}
	return nil
}

// fetchJob fetches the state of a job and lets the entry wait up to five seconds for its completion.
func (r *Run) fetchJob(ctx context.Context, q *request) (entry.JobView, error) {
	var view entry.JobView
	id := ledger.ID("J", cell.TeamName(q.team), q.id)
	url := "http://" + r.Target.Callers[0] + "/Jobs/" + id + "?Wait=5s"
	err := r.Target.fetch(ctx, http.MethodGet, url, r.Target.Teams[q.team], nil, &view)
	return view, err
}

// keyChanges issues and withdraws keys during a run, and makes calls with the withdrawn keys to detect
// those that still work.
type keyChanges struct {
	mu        sync.Mutex
	withdrawn int
	slowest   time.Duration // slowest is the longest time until a withdrawal was in force.
	late      int           // late counts calls that were served after the withdrawal of their key was in force.
	failures  int
}

// keyChangeInterval is the pause between two keys.
const keyChangeInterval = 500 * time.Millisecond

// run issues and withdraws keys for the given time.
func (c *keyChanges) run(ctx context.Context, t *Target, d time.Duration) {
	until := time.Now().Add(d)
	for i := 0; time.Now().Before(until) && ctx.Err() == nil; i++ {
		c.cycle(ctx, t, i)
		time.Sleep(keyChangeInterval)
	}
}

// cycle issues a key, withdraws it, and then makes a call with it to every entry.
func (c *keyChanges) cycle(ctx context.Context, t *Target, i int) {
	var issued front.KeyReply
	address := t.Operators[i%len(t.Operators)]
	if operatorRequest(ctx, t, http.MethodPost, address, "/Operator/Keys", front.KeyBody{Role: winch.KeyTeam, Holder: cell.TeamName(0)}, &issued) != nil {
		c.failures++
		return
	}
	id, _, _ := bytes.Cut([]byte(issued.Key), []byte("."))
	begin := time.Now()
	var applied entry.Applied
	if operatorRequest(ctx, t, http.MethodDelete, address, "/Operator/Keys/"+string(id), nil, &applied) != nil || !applied.InForce {
		c.failures++
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.withdrawn++
	c.slowest = max(c.slowest, time.Since(begin))
	for _, caller := range t.Callers {
		if keyWorks(ctx, t, caller, issued.Key) {
			c.late++
		}
	}
}

// operatorRequest makes a request with the operator's key.
func operatorRequest(ctx context.Context, t *Target, method, address, path string, body, into any) error {
	return t.fetch(ctx, method, "http://"+address+path, t.Operator, body, into)
}

// keyWorks reports whether a call with a key succeeds.
func keyWorks(ctx context.Context, t *Target, address, key string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/Call/"+cell.Service, nil)
	if err != nil {
		return false
	}
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set(front.ClassHeader, cell.ClassPreview)
	resp, err := t.HTTP.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
