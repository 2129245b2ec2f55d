// Command _stand3 plays the cases of the third review that no day of the bench can show. It stands in for the platform's
// store, its executors, its operator and its consumers on loopback addresses, starts the entries as processes, and judges by
// what executors and consumers have seen.
package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held    = 0
	broken  = 1
	unclear = 2
)

// maxRunLines bounds the lines about runs in a record.
const maxRunLines = 3000

// record writes down what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
	lines int
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%7.3f "+format+"\n", append([]any{time.Since(r.began).Seconds()}, args...)...)
}

// run writes a line about a run, of which there may be too many.
func (r *record) run(format string, args ...any) {
	r.mu.Lock()
	r.lines++
	n := r.lines
	r.mu.Unlock()
	switch {
	case n < maxRunLines:
		r.line(format, args...)
	case n == maxRunLines:
		r.line("further runs are not listed")
	}
}

// cluster is a small deployment.
type cluster struct {
	rec     *record
	dir     string
	store   *store
	site    *site
	entries []*entry
	// keep is how long the state of an ended submission can be asked for: the bound status_s.
	keep string
}

// entry is an entry's process, which is started again after it was killed.
type entry struct {
	name, callers, settings, log string

	mu      sync.Mutex
	cmd     *exec.Cmd
	stopped bool
	killed  int // killed counts how often the process was over the limit of memory.
	peakMB  int
}

// Sizes of the deployment: those of a site's sheet with 6 machines and 48 executors.
const (
	zones            = 3
	entryCount       = 6
	executorCount    = 48
	executorCPU      = 16_000
	executorMemMB    = 32_768
	memoryLimitMB    = 284
	firstPort        = 12_000
	portCount        = 18_000
	settledAfter     = 5 * time.Second
	finishAfter      = 14 * time.Second // finishAfter is the bound finish_s.
	nothingRunsLimit = 3 * time.Second
)

// freeAddress returns an address whose port is free and below the range that outgoing connections use.
func freeAddress() (string, error) {
	for range 1000 {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(portCount))
		if ln, err := net.Listen("tcp", address); err == nil {
			return address, ln.Close()
		}
	}
	return "", errors.New("no free port")
}

const settings = `[Entry]
Name = edge-%[1]s-%[2]d
Domain = %[1]s
[Listen]
Callers = %[3]s
Ready = %[4]s
Peers = %[5]s
Metrics = %[6]s
[Platform]
Adapter = Region
Address = %[7]s
Advice = %[8]s
[Peers]
Token = region
[Limits]
Memory = 284MB
Processors = 0.4
[Timing]
Lease = 6000ms
Keep = %[9]s
Grace = 6s
Config = 2000ms
`

// route is a queue of the operator's configuration.
type route struct{ name, host, prefix string }

var routes = []route{{"previews", "previews.example", "/previews/"}, {"mixes", "mixes.example", "/mixes/"}}

var tenants = []string{"choir", "duct", "parish"}

// key returns the key of a tenant.
func key(tenant string) string { return "key-of-" + tenant }

// tenantCPU is what each tenant may have running, in thousandths of a core.
var tenantCPU = map[string]int64{"choir": 600_000, "duct": 600_000, "parish": 120_000}

// startCluster starts the store, the executors and the entries, and writes the configuration.
func startCluster(rec *record, keep string) (*cluster, error) {
	c := &cluster{rec: rec, store: newStore(), site: newSite(rec), keep: keep}
	var err error
	if c.dir, err = os.MkdirTemp("", "review3-"); err != nil {
		return c, err
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return c, err
	}
	go func() { _ = http.Serve(ln, c.store.handler()) }()
	list := []map[string]any{}
	for i, r := range routes {
		list = append(list, map[string]any{
			"name": r.name, "host": r.host, "prefix": r.prefix, "type": "unsafe", "timeout-ms": 3000, "target-duration-ms": 1200, "priority": 2 * i,
			"service": "render", "max-attempts": 3, "stretch": 2.2, "public": false,
		})
	}
	teams := []map[string]any{}
	for _, t := range tenants {
		teams = append(teams, map[string]any{"name": t, "api-keys": []string{key(t)}, "priority": 1, "weight": 20, "cap": capacity{CPU: tenantCPU[t]}})
	}
	c.store.put("op/config", map[string]any{
		"version": 7, "routes": list, "tenants": teams,
		"services": []map[string]any{{"name": "render", "health-path": "/healthz", "max-conns": 64, "protocol": "h1", "rejects-overload": false}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
	for i := range executorCount {
		zone := fmt.Sprintf("z%d", i%zones+1)
		e, err := startExecutor(c.site, fmt.Sprintf("i-%08x", i+1), zone, fmt.Sprintf("r%d-%d", i%zones+1, i/24), capacity{executorCPU, executorMemMB})
		if err != nil {
			return c, err
		}
		go e.beat(c.store)
	}
	for i := range entryCount {
		if err := c.startEntry(i, ln.Addr().String()); err != nil {
			return c, err
		}
	}
	rec.line("%d entries, %d executors of %d thousandths of a core and %d MB", entryCount, executorCount, executorCPU, executorMemMB)
	time.Sleep(settledAfter)
	return c, nil
}

// startEntry starts an entry with the command of the deploy file.
func (c *cluster) startEntry(i int, storeAddress string) error {
	args := []any{fmt.Sprintf("z%d", i%zones+1), i/zones + 1}
	for range 4 {
		address, err := freeAddress()
		if err != nil {
			return err
		}
		args = append(args, address)
	}
	// Nobody answers at the address of the advice service, since no queue needs advice.
	args = append(args, storeAddress, "127.0.0.1:9", c.keep)
	path := filepath.Join(c.dir, fmt.Sprintf("entry-%d.ini", i))
	if err := os.WriteFile(path, fmt.Appendf(nil, settings, args...), 0o600); err != nil {
		return err
	}
	e := &entry{name: fmt.Sprintf("entry %d", i), callers: args[2].(string), settings: path, log: filepath.Join(c.dir, fmt.Sprintf("entry-%d.log", i))}
	c.entries = append(c.entries, e)
	if err := e.start(); err != nil {
		return err
	}
	go c.guard(e)
	return nil
}

// start starts the process with the command of the deploy file. The mutex is held, or nobody else knows the entry.
func (e *entry) start() error {
	out, err := os.OpenFile(e.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command("target/plantainwinch", "serve", "-c", e.settings)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	e.cmd = cmd
	return cmd.Start()
}

// Times of the guard: how often it looks, and the delay before a process that was killed starts again.
const (
	guardInterval = 50 * time.Millisecond
	restartDelay  = 500 * time.Millisecond
)

// guard kills the process whenever it has more memory than the machine, as the platform does, and starts it again. Only
// the process's own memory counts, not the pages of the program's file.
func (c *cluster) guard(e *entry) {
	runtime.LockOSThread() // The processes that it starts end with this thread.
	for {
		time.Sleep(guardInterval)
		e.mu.Lock()
		if e.stopped {
			e.mu.Unlock()
			return
		}
		mb := memoryMB(e.cmd.Process.Pid)
		e.peakMB = max(e.peakMB, mb)
		if mb > memoryLimitMB {
			_ = e.cmd.Process.Kill()
			_ = e.cmd.Wait()
			e.killed++
			c.rec.line("%s has %d MB of memory, over its limit of %d MB: killed, the %d. time", e.name, mb, memoryLimitMB, e.killed)
			time.Sleep(restartDelay)
			if err := e.start(); err != nil {
				c.rec.line("%s did not start again: %v", e.name, err)
			}
		}
		e.mu.Unlock()
	}
}

// memoryMB returns the memory that a process has.
func memoryMB(pid int) int {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.Lines(string(data)) {
		kb := 0
		if n, _ := fmt.Sscanf(line, "RssAnon: %d kB", &kb); n == 1 {
			return kb / 1024
		}
	}
	return 0
}

// memory returns the largest memory that any entry has had, and how many entries were killed three times or more for it.
func (c *cluster) memory() (peakMB, faulty int) {
	for _, e := range c.entries {
		e.mu.Lock()
		peakMB = max(peakMB, e.peakMB)
		if e.killed >= 3 {
			faulty++
		}
		e.mu.Unlock()
	}
	return peakMB, faulty
}

// stop ends the entries and removes their files.
func (c *cluster) stop() {
	for _, e := range c.entries {
		e.mu.Lock()
		e.stopped = true
		if e.cmd != nil && e.cmd.Process != nil {
			_ = e.cmd.Process.Kill()
			_ = e.cmd.Wait()
		}
		e.mu.Unlock()
	}
	if os.Getenv("KEEP") == "" && c.dir != "" {
		_ = os.RemoveAll(c.dir)
	}
}

// terms counts how often an entry has become planner, and the standbys that have replaced one, by the entries' logs. They
// explain a result and don't decide it.
func (c *cluster) terms() (taken, replaced int) {
	for i := range c.entries {
		data, _ := os.ReadFile(filepath.Join(c.dir, fmt.Sprintf("entry-%d.log", i)))
		taken += bytes.Count(data, []byte(`"office taken"`))
		replaced += bytes.Count(data, []byte(`"ending the office of a planner that is silent`))
	}
	return taken, replaced
}

// submission is what a consumer hands in.
type submission struct {
	Spec   string  `json:"spec"`
	Phases []phase `json:"phases"`
	Times  int     `json:"repeats,omitempty"`
	First  int64   `json:"start-at-ms,omitempty"`
	Every  int64   `json:"interval-ms,omitempty"`
}

type phase struct {
	Count int `json:"count"`
	capacity
	Estimate int64  `json:"estimate-ms"`
	Requires string `json:"requires,omitempty"`
}

// call sends a consumer's call to an entry and returns the status, 0 if there was no response, and the state in the response.
func (c *cluster) call(i int, method string, r route, id, tenant string, body any) (int, string) {
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body)
	}
	req, err := http.NewRequest(method, "http://"+c.entries[i%len(c.entries)].callers+r.prefix+id, bytes.NewReader(data))
	if err != nil {
		return 0, ""
	}
	req.Host = r.host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Plantainwinch"+"-Credential", key(tenant))
	req.Header.Set("Plantainwinch"+"-Deadline-Ms", "3000")
	client := http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	c.rec.line("consumer of %s at entry %d: %s %s%s %s", tenant, i%len(c.entries), method, r.prefix, id, data)
	resp, err := client.Do(req)
	if err != nil {
		c.rec.line("consumer of %s: %s %s%s had no answer in 3 s", tenant, method, r.prefix, id)
		return 0, ""
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	c.rec.line("consumer of %s: %s %s%s -> %d %s", tenant, method, r.prefix, id, resp.StatusCode, text)
	var out struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal(text, &out)
	return resp.StatusCode, out.State
}

// submit hands a submission in until it is accepted, at another entry each time, five times at most.
func (c *cluster) submit(i int, r route, id, tenant string, s submission) bool {
	c.site.declare(id, s.Phases[0].capacity)
	for try := range 5 {
		status, _ := c.call(i+try, http.MethodPost, r, id, tenant, s)
		if status/100 == 2 {
			return true
		}
		time.Sleep(500 * time.Millisecond)
	}
	return false
}

// small returns a submission of two short tasks.
func small(spec string) submission {
	return submission{Spec: spec + " 300ms", Phases: []phase{{Count: 2, capacity: capacity{CPU: 1000, MemMB: 256}, Estimate: 300}}}
}

// warmUp has two submissions run, and reports whether they are completed.
func (c *cluster) warmUp() bool {
	for n, tenant := range tenants {
		id := fmt.Sprintf("%016x", 0xa000+n)
		if !c.submit(n, routes[0], id, tenant, small("warm-up")) || !c.await(id, tenant, routes[0], 8*time.Second) {
			return false
		}
	}
	return true
}

// await asks for a submission's state until it is completed.
func (c *cluster) await(id, tenant string, r route, limit time.Duration) bool {
	for end, n := time.Now().Add(limit), 0; time.Now().Before(end); n++ {
		if _, state := c.call(n, http.MethodGet, r, id, tenant, nil); state == "completed" {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

func main() {
	os.Exit(play())
}

func play() int {
	cases := map[string]func(*cluster, bool) int{"large": playLarge, "timed": playTimed, "hopeless": playHopeless, "same-id": playSameID, "reuse": playReuse}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: _stand3 timed|large|hopeless|same-id|reuse FOLDER")
		return unclear
	}
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return unclear
	}
	defer file.Close()
	rec := &record{file: file, began: time.Now()}
	keep := "120s"
	if os.Args[1] == "reuse" {
		keep = reuseKeep
	}
	c, err := startCluster(rec, keep)
	defer c.stop()
	if err != nil || !c.warmUp() {
		rec.line("the deployment did not start: %v", err)
		return unclear
	}
	rec.line("the deployment serves")
	result := cases[os.Args[1]](c, os.Getenv("TROUBLE") != "0")
	rec.line("result %d", result)
	fmt.Println([]string{"the rule held", "the rule was broken", "the case could not run"}[result])
	return result
}
