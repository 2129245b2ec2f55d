package cmds

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"plantainwinch/entry"
	"plantainwinch/stand"
	"plantainwinch/state/config"
	"plantainwinch/trans/front"
	"plantainwinch/winch"
)

// asProgramEnv is an environment variable that makes the test binary run as the program.
const asProgramEnv = "WINCH_TEST_AS_PROGRAM"

// processCell is a cell of real processes on loopback.
type processCell struct {
	t                 *testing.T
	dir               string
	platform          string
	processes         map[string]*exec.Cmd
	addresses         map[string]string // The address of each process; for an entry, of its callers' interface.
	operatorAddresses map[string]string // The address of each entry's operators' interface.
	operatorKey       string            // The operator's key.
	teamKey           string            // The key of the team choir.
}

// newProcessCell starts a platform, two executors, two workers and the entries, all in one failure domain. It returns
// when every entry serves calls and the planner knows both workers.
func newProcessCell(t *testing.T, entries ...string) *processCell {
	t.Helper()
	secret, key := config.NewKey()
	p := &processCell{
		t: t, dir: t.TempDir(), processes: make(map[string]*exec.Cmd), addresses: make(map[string]string), operatorAddresses: make(map[string]string),
		operatorKey: secret,
	}
	t.Cleanup(p.stop)
	p.platform = freeAddress(t)
	p.startProcess("platform", "stand", "platform", "--listen", p.platform)
	for _, name := range []string{"e1", "e2"} {
		p.addresses[name] = freeAddress(t)
		p.startProcess(name, "stand", "executor", "--name", name, "--platform", p.platform, "--listen", p.addresses[name])
	}
	for _, name := range []string{"w1", "w2"} {
		p.addresses[name] = freeAddress(t)
		p.startProcess(name, "stand", "worker", "--name", name, "--platform", p.platform, "--listen", p.addresses[name], "--processors", "8")
	}
	peers := make([]string, len(entries))
	for i := range peers {
		peers[i] = freeAddress(t)
	}
	for i, name := range entries {
		p.addresses[name], p.operatorAddresses[name] = freeAddress(t), freeAddress(t)
		p.writeSettings(name, peers[i], peers, key.Hash)
		p.startProcess(name, "serve", "-c", p.settingsFile(name))
	}
	p.configure(entries[0])
	p.await("the entries to know each other, a planner and the slots", func() bool {
		var s entry.CellStatus
		if p.operatorRequest(http.MethodGet, entries[0], "/Operator/Status", nil, &s) != nil || len(s.Entries) < len(entries) {
			return false
		}
		for _, name := range entries {
			if p.call(name, "preview", "ready-"+name, "x", nil).outcome != "Done" {
				return false
			}
		}
		return s.Domains[0].Placer != "" && s.Domains[0].Size.Processors == 16
	})
	return p
}

// nextPort is the next port to try. The ports are below the system's ephemeral port range: otherwise an outgoing
// connection could take a port between the check in freeAddress and its use.
var nextPort = 10000 + os.Getpid()%180*100

func freeAddress(t *testing.T) string {
	t.Helper()
	for range 1000 {
		nextPort++
		address := fmt.Sprintf("127.0.0.1:%d", nextPort)
		ln, err := net.Listen("tcp", address)
		if err == nil {
			_ = ln.Close()
			return address
		}
	}
	t.Fatal("no free port")
	return ""
}

func (p *processCell) settingsFile(name string) string { return filepath.Join(p.dir, name+".ini") }

// writeSettings writes the settings file of an entry.
func (p *processCell) writeSettings(name, peer string, peers []string, hash string) {
	text := fmt.Sprintf(`[Entry]
Name = %s
Domain = d1
[Cell]
Name = test
OperatorKeyHash = %s
[Listen]
Callers = %s
Operators = %s
Peers = %s
[Platform]
Address = %s
[Peers]
Token = secret
Addresses = %s
[Timing]
Heartbeat = 200ms
Office = 1s
Tasks = 3s
`, name, hash, p.addresses[name], p.operatorAddresses[name], peer, p.platform, strings.Join(peers, ", "))
	if err := os.WriteFile(p.settingsFile(name), []byte(text), 0o600); err != nil {
		p.t.Fatal(err)
	}
}

// startProcess starts the test binary as the program with the given arguments, under a name of the test.
func (p *processCell) startProcess(name string, args ...string) {
	p.t.Helper()
	program, err := os.Executable()
	if err != nil {
		p.t.Fatal(err)
	}
	cmd := exec.Command(program, args...)
	cmd.Env = append(os.Environ(), asProgramEnv+"=1")
	log, err := os.Create(filepath.Join(p.dir, name+".log"))
	if err != nil {
		p.t.Fatal(err)
	}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	p.processes[name] = cmd
}

func (p *processCell) signal(name string, s syscall.Signal) {
	p.t.Helper()
	if err := p.processes[name].Process.Signal(s); err != nil {
		p.t.Fatal(err)
	}
}

// kill kills a process with SIGKILL and waits for its exit.
func (p *processCell) kill(name string) {
	_ = p.processes[name].Process.Kill()
	_ = p.processes[name].Wait()
	delete(p.processes, name)
}

// stop kills all processes. If the test failed, it logs the end of each process's output.
func (p *processCell) stop() {
	for name := range p.processes {
		if p.t.Failed() {
			log, _ := os.ReadFile(filepath.Join(p.dir, name+".log"))
			p.t.Logf("%s:\n%s", name, log[max(0, len(log)-3000):])
		}
		p.kill(name)
	}
}

// await polls until f returns true and returns how long that took. The timeout only keeps a failing test from running
// forever.
func (p *processCell) await(what string, f func() bool) time.Duration {
	p.t.Helper()
	begin := time.Now()
	for time.Since(begin) < time.Minute {
		if f() {
			return time.Since(begin)
		}
		time.Sleep(5 * time.Millisecond)
	}
	p.t.Fatal("timed out waiting for " + what)
	return 0
}

// request sends a request and decodes the response into into, if that is set.
func (p *processCell) request(method, url, key string, body, into any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(data))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusBadRequest {
		text, _ := io.ReadAll(resp.Body)
		return fmt.Errorf("%s: %s", resp.Status, text)
	}
	if into == nil {
		return nil
	}
	return json.NewDecoder(resp.Body).Decode(into)
}

// operatorRequest sends a request to the operators' interface of an entry.
func (p *processCell) operatorRequest(method, name, path string, body, into any) error {
	return p.request(method, "http://"+p.operatorAddresses[name]+path, p.operatorKey, body, into)
}

// configure declares a team, classes and a service at an entry, and issues the keys that the tests need.
func (p *processCell) configure(name string) {
	p.t.Helper()
	declared := config.Declared{
		Teams: map[string]winch.Team{"choir": {Name: "choir", Share: 1, Limit: 40, CutOffTrust: time.Minute}},
		Classes: map[string]winch.Class{
			"preview": {Name: "preview", Wait: 4 * time.Second, Repeatable: true, MaxRun: 10 * time.Second},
			"invoice": {Name: "invoice", Wait: 4 * time.Second, MaxRun: 10 * time.Second},
			"mix":     {Name: "mix", By: "06:00", Repeatable: true, Preemptible: true, MaxRun: time.Hour},
			"billed":  {Name: "billed", By: "06:00", MaxRun: time.Hour},
		},
		Services: map[string]winch.Service{"render": {Name: "render", MaxBody: 1 << 20}},
	}
	p.await("the configuration to be accepted", func() bool {
		return p.operatorRequest(http.MethodPost, name, "/Operator/Apply", front.ApplyBody{Declared: declared}, nil) == nil
	})
	var team, owner front.KeyReply
	for _, k := range []struct {
		body front.KeyBody
		into *front.KeyReply
	}{{front.KeyBody{Role: winch.KeyTeam, Holder: "choir"}, &team}, {front.KeyBody{Role: winch.KeyOwner, Holder: "render"}, &owner}} {
		if err := p.operatorRequest(http.MethodPost, name, "/Operator/Keys", k.body, k.into); err != nil {
			p.t.Fatal(err)
		}
	}
	p.teamKey = team.Key
	url := "http://" + p.operatorAddresses[name] + "/Operator/Services/render/Approved/choir"
	if err := p.request(http.MethodPut, url, owner.Key, nil, nil); err != nil {
		p.t.Fatal(err)
	}
}

// callResponse is the result of a call as its caller sees it.
type callResponse struct {
	outcome, reason, body string
	err                   error
}

// call sends a call of the service render through an entry.
func (p *processCell) call(name, class, id, body string, header http.Header) callResponse {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.addresses[name]+"/Call/render", strings.NewReader(body))
	if err != nil {
		return callResponse{err: err}
	}
	for k, v := range header {
		req.Header[k] = v
	}
	req.Header.Set("Authorization", "Bearer "+p.teamKey)
	req.Header.Set(front.ClassHeader, class)
	req.Header.Set(front.RequestIDHeader, id)
	req.Header.Set("Stand-Caller", id)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return callResponse{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return callResponse{resp.Header.Get(front.OutcomeHeader), resp.Header.Get(front.ReasonHeader), string(data), err}
}

func (p *processCell) submit(name, class, id string, tasks int, run string) winch.Job {
	p.t.Helper()
	var job winch.Job
	body := front.JobBody{
		RequestID: id, Class: class, Kind: winch.Batch, Tasks: tasks, RunTime: run, Command: "echo x",
		Need: front.NeedBody{Processors: 1, Memory: "1GB"},
	}
	if err := p.request(http.MethodPost, "http://"+p.addresses[name]+"/Jobs", p.teamKey, body, &job); err != nil {
		p.t.Fatal(err)
	}
	return job
}

func (p *processCell) job(name, id string) (v entry.JobView, err error) {
	err = p.request(http.MethodGet, "http://"+p.addresses[name]+"/Jobs/"+id+"?Wait=1s", p.teamKey, nil, &v)
	return v, err
}

// awaitJob waits for a job to end and returns it.
func (p *processCell) awaitJob(name, id string) entry.JobView {
	p.t.Helper()
	var out entry.JobView
	p.await("job "+id+" to end", func() bool {
		v, err := p.job(name, id)
		out = v
		return err == nil && v.State.Final()
	})
	return out
}

// planner returns the entry that is the planner, as another entry reports it.
func (p *processCell) planner(name string) string {
	var s entry.CellStatus
	if p.operatorRequest(http.MethodGet, name, "/Operator/Status", nil, &s) != nil || len(s.Domains) == 0 {
		return ""
	}
	return s.Domains[0].Placer
}

// runCount returns how often a request ran on the executors that still respond.
func (p *processCell) runCount(id string) (n int) {
	for _, name := range []string{"e1", "e2"} {
		var c stand.ExecCounts
		if p.request(http.MethodGet, "http://"+p.addresses[name]+"/Stand/Counts", "", nil, &c) == nil {
			n += c.Runs[id]
		}
	}
	return n
}

// workerCounts returns what the workers have counted.
func (p *processCell) workerCounts() map[string]stand.WorkerCounts {
	out := make(map[string]stand.WorkerCounts)
	for _, name := range []string{"w1", "w2"} {
		var c stand.WorkerCounts
		if err := p.request(http.MethodGet, "http://"+p.addresses[name]+"/Stand/Counts", "", nil, &c); err != nil {
			p.t.Fatal(err)
		}
		out[name] = c
	}
	return out
}

// startedTasks returns how many tasks of a job the workers have started.
func (p *processCell) startedTasks(job string) (n int) {
	for _, c := range p.workerCounts() {
		for id := range c.Starts {
			if strings.HasPrefix(id, job) {
				n++
			}
		}
	}
	return n
}

// startViolations lists the tasks that were started more than once and the workers that were overcommitted.
func (p *processCell) startViolations() (out []string) {
	sum := make(map[string]int)
	for name, c := range p.workerCounts() {
		if c.Overcommitted > 0 {
			out = append(out, name+" was overcommitted")
		}
		for id, n := range c.Starts {
			if sum[id] += n; sum[id] > 1 {
				out = append(out, id)
			}
		}
	}
	return out
}

// TestProcessInvoicesOfKilledAndPausedExecutorsAreUnknown guards against a second run of a call that is not
// repeatable. One executor process is killed and another paused while each runs an invoice. Both callers must get an
// unknown outcome, and a request with the same id must not send the invoice again.
func TestProcessInvoicesOfKilledAndPausedExecutorsAreUnknown(t *testing.T) {
	is := is.New(t)
	p := newProcessCell(t, "a", "b")
	work := http.Header{"Stand-Work": {"5s"}, front.DeadlineHeader: {"3s"}}
	var results [2]callResponse
	var group conc.WaitGroup
	for i := range results {
		group.Go(func() { results[i] = p.call("a", "invoice", fmt.Sprint("i", i), "x", work) })
	}
	p.await("both invoices to run", func() bool { return p.runCount("i0")+p.runCount("i1") == 2 })
	p.kill("e1")
	p.signal("e2", syscall.SIGSTOP)
	group.Wait()
	p.signal("e2", syscall.SIGCONT)
	for i, g := range results {
		is.NoErr(g.err)
		is.Equal(g.outcome, "Unknown")
		again := p.call("b", "invoice", fmt.Sprint("i", i), "x", http.Header{front.DeadlineHeader: {"1s"}})
		is.Equal(again.outcome, "Unknown")
	}
	is.True(p.runCount("i0")+p.runCount("i1") <= 2)
}

// TestProcessJobsEndAfterPlannersAreKilledAndPaused guards against lost jobs and double starts at takeovers. The
// planner process is killed; then its successor is paused for longer than its lease and resumed. Every job must end,
// and no task may be started twice.
func TestProcessJobsEndAfterPlannersAreKilledAndPaused(t *testing.T) {
	is := is.New(t)
	p := newProcessCell(t, "a", "b", "c")
	first := p.planner("a")
	survivor := "a"
	if first == "a" {
		survivor = "b"
	}
	jobs := []winch.Job{p.submit(survivor, "billed", "j1", 4, "6s"), p.submit(survivor, "mix", "j2", 40, "500ms")}
	// A billed job with a task that is to start, but has not, ends as unknown.
	p.await("all tasks of the billed job to run", func() bool { return p.startedTasks(jobs[0].ID) == 4 })
	p.kill(first)
	begin := time.Now()
	afterKill := p.submit(survivor, "mix", "j3", 1, "1ms")
	p.awaitJob(survivor, afterKill.ID)
	t.Logf("a job ended %s after the planner was killed", time.Since(begin).Round(time.Millisecond))
	second := p.planner(survivor)
	is.True(second != first)
	for _, name := range []string{"a", "b", "c"} {
		if name != first && name != second {
			survivor = name
		}
	}
	p.signal(second, syscall.SIGSTOP)
	jobs = append(jobs, p.submit(survivor, "billed", "j4", 6, "300ms"))
	whilePaused := p.submit(survivor, "mix", "j5", 12, "300ms")
	p.awaitJob(survivor, whilePaused.ID)
	p.signal(second, syscall.SIGCONT)
	for _, j := range jobs {
		is.Equal(p.awaitJob(survivor, j.ID).State, winch.JobDone)
	}
	is.Equal(p.startViolations(), nil)
}

// TestProcessCallsContinueWhileThePlatformIsPaused guards against repeatable calls that depend on the platform. While
// the platform process is paused, calls of a repeatable class must succeed and a batch job must be refused. The job
// must be accepted once the platform is resumed.
func TestProcessCallsContinueWhileThePlatformIsPaused(t *testing.T) {
	is := is.New(t)
	p := newProcessCell(t, "a", "b")
	p.signal("platform", syscall.SIGSTOP)
	for i := range 100 {
		is.Equal(p.call([]string{"a", "b"}[i%2], "preview", fmt.Sprint("p", i), "x", nil).outcome, "Done")
	}
	body := front.JobBody{RequestID: "j", Class: "mix", Kind: winch.Batch, Tasks: 1, Need: front.NeedBody{Processors: 1, Memory: "1GB"}, RunTime: "10ms"}
	err := p.request(http.MethodPost, "http://"+p.addresses["a"]+"/Jobs", p.teamKey, body, nil)
	is.True(err != nil)
	p.signal("platform", syscall.SIGCONT)
	p.await("the job to be accepted", func() bool {
		return p.request(http.MethodPost, "http://"+p.addresses["a"]+"/Jobs", p.teamKey, body, nil) == nil
	})
	is.Equal(p.startViolations(), nil)
}
