// Command _stand2 holds the stand-ins of the cases review/4 to review/8: the platform's store, its
// executors and its consumers. It starts the entries as separate processes, plays one case and judges it by
// what consumers, executors and the platform have seen.
//
//	review-2 CASE PROGRAM RECORD
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves the
// disruption out.
package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The bounds of the pages' small installations, and the largest length of a script.
const (
	cancelMS    = 3000 * time.Millisecond
	stopMS      = 900 * time.Millisecond
	finishS     = 14 * time.Second
	maxLength   = 115 * time.Second
	serviceName = "duct-ledger"
	host        = "queue.example"
	tenantKey   = "key0of0the0tenant"
)

var (
	recordMu   sync.Mutex
	recordFile *os.File
	began      = time.Now()
	entries    []*entry
	work       string
	program    string
	trouble    = os.Getenv("TROUBLE") != "0"
)

// record writes a line to record.txt.
func record(format string, args ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	if recordFile != nil {
		fmt.Fprintf(recordFile, "%8.3f  %s\n", time.Since(began).Seconds(), fmt.Sprintf(format, args...))
	}
}

// finish ends all processes and exits.
func finish(status int, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	record("%s", text)
	fmt.Println(text)
	for _, e := range entries {
		_ = e.cmd.Process.Kill()
	}
	for _, e := range entries {
		_ = e.cmd.Wait()
	}
	_ = os.RemoveAll(work)
	os.Exit(status)
}

func cannotRun(format string, args ...any) { finish(2, "the case could not run: "+format, args...) }

// entry is one process of the system.
type entry struct {
	name, zone, front, ready string
	settings                 string
	cmd                      *exec.Cmd
}

// freePort returns an address with a free port outside the range from which connections take theirs.
func freePort() string {
	for range 1000 {
		port := 10_000 + rand.IntN(20_000)
		address := fmt.Sprintf("127.0.0.1:%d", port)
		if usedPorts[port] {
			continue
		}
		if ln, err := net.Listen("tcp", address); err == nil {
			_ = ln.Close()
			usedPorts[port] = true
			return address
		}
	}
	cannotRun("no free port")
	return ""
}

var usedPorts = make(map[int]bool)

// startEntries starts the entries of a small installation, with the settings of the deploy file's template.
func startEntries(storeAddress string) {
	for i, zone := range []string{"kgn", "kgn", "kgn", "spn", "spn", "mpn"} {
		e := &entry{name: fmt.Sprintf("edge-%s-%d", zone, i+1), zone: zone, front: freePort(), ready: freePort()}
		e.settings = filepath.Join(work, e.name+".ini")
		text := fmt.Sprintf(`[Entry]
Name = %s
Domain = %s

[Listen]
Callers = %s
Ready = %s
Peers = %s
Metrics = %s

[Platform]
Adapter = Region
Address = %s
Advice = %s

[Peers]
Token = region

[Limits]
Memory = 284MB
Processors = 0.4

[Timing]
Lease = 6000ms
Keep = 120s
Grace = 6s
Config = 2000ms
`, e.name, zone, e.front, e.ready, freePort(), freePort(), storeAddress, freePort())
		if err := os.WriteFile(e.settings, []byte(text), 0o600); err != nil {
			cannotRun("%v", err)
		}
		log, err := os.Create(filepath.Join(work, e.name+".log"))
		if err != nil {
			cannotRun("%v", err)
		}
		e.cmd = exec.Command(program, "serve", "-c", e.settings)
		e.cmd.Stdout, e.cmd.Stderr = log, log
		e.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		if err := e.cmd.Start(); err != nil {
			cannotRun("%v", err)
		}
		entries = append(entries, e)
		record("entry %s started", e.name)
	}
	for _, e := range entries {
		wait("the entry "+e.name+" to be ready", 20*time.Second, func() bool {
			resp, err := http.Get("http://" + e.ready + "/api/readyz")
			if err != nil {
				return false
			}
			_ = resp.Body.Close()
			return resp.StatusCode == http.StatusOK
		})
	}
}

// wait waits for a condition, without which the case can't run.
func wait(what string, limit time.Duration, done func() bool) {
	for end := time.Now().Add(limit); !done(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			cannotRun("waited %v for %s", limit, what)
		}
	}
}

// queue is a route of the operator's configuration.
type queue struct {
	name, prefix string
	priority     int
	attempts     int
}

// configure writes the operator's configuration.
func configure(s *store, version int, queues ...queue) {
	var routes []any
	for _, q := range queues {
		routes = append(routes, map[string]any{
			"name": q.name, "host": host, "prefix": q.prefix, "type": "unsafe", "timeout-ms": 3000, "target-duration-ms": 1200,
			"priority": q.priority, "service": serviceName, "max-attempts": q.attempts, "stretch": 2.2, "public": false,
		})
	}
	s.put("op/config", map[string]any{
		"version": version, "routes": routes,
		"services": []any{map[string]any{"name": serviceName, "health-path": "/healthz", "max-conns": 64, "protocol": "h1", "tls": false, "rejects-overload": false, "standby": false}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants":  []any{map[string]any{"name": "tenant", "api-keys": []string{tenantKey}, "weight": 400, "cap": map[string]any{"cpu": 0, "mem-mb": 0, "gpu": 0}}},
	})
	record("operator: configuration %d is confirmed", version)
}

// startExecutors starts executors of the service, spread over the zones and racks.
func startExecutors(s *store, n, cpu, memMB int, kind func(i int) string) []*executor {
	var out []*executor
	for i := range n {
		zone := []string{"kgn", "spn", "mpn"}[i%3]
		x := &executor{
			id: executorID(i), zone: zone, address: freePort(), cpu: cpu, memMB: memMB,
			labels: []string{kind(i), fmt.Sprintf("r%d-1", i%3+1)}, store: s, delay: 2 * time.Millisecond, // There and back between zones.
		}
		x.boot()
		out = append(out, x)
	}
	return out
}

var consumer = http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}

// call sends a request of a consumer to an entry. The status is zero if the consumer left before there was an answer.
func call(e *entry, method, path, body string, patience time.Duration) (int, string) {
	req, err := http.NewRequest(method, "http://"+e.front+path, bytes.NewReader([]byte(body)))
	if err != nil {
		cannotRun("%v", err)
	}
	req.Host = host
	req.Header.Set("Plantain"+"winch-Credential", tenantKey)
	req.Header.Set("Plantain"+"winch-Deadline-Ms", "3000")
	if body != "" {
		req.Header.Set("Content-Type", "application/json")
	}
	client := consumer
	client.Timeout = patience
	resp, err := client.Do(req)
	if err != nil {
		record("consumer: %s %s to %s: no answer", method, path, e.name)
		return 0, ""
	}
	defer resp.Body.Close()
	var text bytes.Buffer
	if _, err := text.ReadFrom(resp.Body); err != nil {
		record("consumer: %s %s to %s: %d, cut off", method, path, e.name, resp.StatusCode)
		return 0, ""
	}
	record("consumer: %s %s to %s: %d %s", method, path, e.name, resp.StatusCode, strings.TrimSpace(text.String()))
	return resp.StatusCode, text.String()
}

// submit hands a submission in until it is accepted, as a consumer does: up to four retries, at other entries.
func submit(first int, path, body string) time.Time {
	for try := range 5 {
		status, _ := call(entries[(first+try)%len(entries)], http.MethodPost, path, body, 3*time.Second)
		if status == http.StatusOK {
			return time.Now()
		}
		time.Sleep(200 * time.Millisecond)
	}
	cannotRun("%s was not accepted", path)
	return time.Time{}
}

// What executors have seen of all runs.
var (
	seenMu sync.Mutex
	active = make(map[string]map[string]bool) // active holds the runs that are on an executor, by submission.
	starts = make(map[string]int)
	where  = make(map[string]string) // where holds the executor of each task that runs.
	doneN  = make(map[string]int)    // doneN counts the runs that were listed as done.
	twice  []string                  // twice lists the starts of tasks that ran on another executor that was up.
)

func idOf(name string) string { return name[:strings.Index(name, ".")] }

func noteStart(x *executor, t *task) {
	seenMu.Lock()
	defer seenMu.Unlock()
	id := idOf(t.name)
	if active[id] == nil {
		active[id] = make(map[string]bool)
	}
	if other := where[t.name]; other != "" && other != x.id {
		twice = append(twice, fmt.Sprintf("%s, run %d, starts on %s while it runs on %s", t.name, t.run, x.id, other))
		record("%s", twice[len(twice)-1])
	}
	active[id][t.name], where[t.name] = true, x.id
	starts[id]++
	record("executor %s: start %s/%d, work done before %v", x.id, t.name, t.run, t.base)
}

func noteEnd(x *executor, t *task, how string) {
	seenMu.Lock()
	defer seenMu.Unlock()
	id := idOf(t.name)
	if how == "done" {
		doneN[id]++
	}
	if where[t.name] == x.id {
		delete(active[id], t.name)
		delete(where, t.name)
	}
	record("executor %s: end %s/%d %s", x.id, t.name, t.run, how)
}

func noteLost(name string, _ uint64) {
	seenMu.Lock()
	defer seenMu.Unlock()
	delete(active[idOf(name)], name)
	delete(where, name)
}

func noteStop(x *executor, name string, run uint64) {
	record("executor %s: stop %s/%d", x.id, name, run)
}

func activeOf(id string) int {
	seenMu.Lock()
	defer seenMu.Unlock()
	return len(active[id])
}

func startsOf(id string) int {
	seenMu.Lock()
	defer seenMu.Unlock()
	return starts[id]
}

// inUse returns how many cores are in use, if urgent tasks need one and others need the given number, and how many tasks of the
// latter kind would fit into the executors.
func inUse(cores, need int) (used, free int) {
	seenMu.Lock()
	defer seenMu.Unlock()
	by := make(map[string]int)
	for name, x := range where {
		n := need
		if idOf(name) >= newID(1000) {
			n = 1
		}
		used += n
		by[x] += n
	}
	for i := range 8 {
		free += (cores - by[executorID(i)]) / need
	}
	return used, free
}

// progressOf returns how many tasks of a submission are done, and how many run.
func progressOf(id string) (done, running int) {
	seenMu.Lock()
	defer seenMu.Unlock()
	return doneN[id], len(active[id])
}

func executorID(i int) string { return fmt.Sprintf("i-%08x", 0x7f3a9100+i) }

func newID(n int) string { return fmt.Sprintf("5c0e7a21d94b%04x", n) }

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE PROGRAM RECORD")
		os.Exit(2)
	}
	play := cases[os.Args[1]]
	var err error
	if program, err = filepath.Abs(os.Args[2]); err != nil || play == nil {
		fmt.Fprintln(os.Stderr, "no such case or program")
		os.Exit(2)
	}
	if recordFile, err = os.Create(os.Args[3]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	if work, err = os.MkdirTemp("", "review-2-"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	record("case %s, trouble %v", os.Args[1], trouble)
	time.AfterFunc(maxLength, func() { cannotRun("it took too long") })
	s := newStore()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("%v", err)
	}
	go func() { _ = http.Serve(ln, s) }()
	play(s, ln.Addr().String())
}
