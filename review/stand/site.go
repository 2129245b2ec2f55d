package main

import (
	"bytes"
	"context"
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
	"strings"
	"sync"
	"time"

	"plantainwinch/platform/fake"
)

// A small deployment: two entries and some workers in each of three failure domains.
const (
	entriesPerDomain = 2
	workersPerDomain = 3
	workerMilli      = 8000
	team             = "choir"
	// restartDelay is how long after its end the platform starts a process again.
	restartDelay = 500 * time.Millisecond
	readyTimeout = 20 * time.Second
)

var domains = []string{"d1", "d2", "d3"}

// site is the platform that the entries run on.
type site struct {
	program, template string
	out               io.Writer
	began             time.Time
	folder            string
	store             fake.Store
	checker           fake.Checker
	caller            fake.Caller
	entries           []*entry
	workers           []*worker
	quit              chan struct{}
	group             sync.WaitGroup

	mu       sync.Mutex // mu guards the fields below and out.
	version  int
	sends    int
	runs     map[string]int      // runs counts the runs of each task that are going on.
	ends     map[string][]string // ends lists how the runs of each task have ended.
	starts   map[string]int
	lastSeen map[string]time.Time // lastSeen is when a run of a job last was going on.
	planner  *entry
}

// entry is one process of the program under test.
type entry struct {
	name, settings string
	callers, ready string
	process        *exec.Cmd
	done           chan struct{}
}

// worker is a worker VM, which boots again after a crash under the same ID and address.
type worker struct {
	id, domain, address string
	mu                  sync.Mutex
	boot                *fake.Worker
	server              *http.Server
}

// log writes a line to the record.
func (s *site) log(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.logLocked(format, args...)
}

func (s *site) logLocked(format string, args ...any) {
	_, _ = fmt.Fprintf(s.out, "%8.3f %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, args...))
}

// start starts the store, the workers and the entries, and waits until all entries are ready.
func (s *site) start(ctx context.Context) error {
	s.runs, s.ends, s.starts = make(map[string]int), make(map[string][]string), make(map[string]int)
	s.lastSeen, s.quit = make(map[string]time.Time), make(chan struct{})
	s.checker.Log = s.noteRun
	s.caller.HTTP.Timeout = 3 * time.Second
	var err error
	if s.folder, err = os.MkdirTemp("", "review"); err != nil {
		return err
	}
	address, err := freeAddresses(1)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", address[0])
	if err != nil {
		return err
	}
	s.serve(listener, s.store.Handler())
	for i := range workersPerDomain * len(domains) {
		if err := s.addWorker(fmt.Sprintf("w%d", i+1), domains[i%len(domains)]); err != nil {
			return err
		}
	}
	s.configure("jobs", "batch")
	s.group.Go(s.endDueRuns)
	for i := range entriesPerDomain * len(domains) {
		if err := s.addEntry(fmt.Sprintf("edge-%d", i+1), domains[i%len(domains)], listener.Addr().String()); err != nil {
			return err
		}
	}
	for _, e := range s.entries {
		if err := s.startEntry(e); err != nil {
			return err
		}
	}
	return s.await(ctx, readyTimeout, "all entries are ready", func() bool {
		for _, e := range s.entries {
			if !isReady(e) {
				return false
			}
		}
		return s.currentPlanner() != nil
	})
}

func (s *site) serve(listener net.Listener, handler http.Handler) *http.Server {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	s.group.Go(func() { _ = server.Serve(listener) })
	return server
}

// await waits until a condition holds. That it doesn't in time is an error.
func (s *site) await(ctx context.Context, atMost time.Duration, what string, condition func() bool) error {
	for deadline := time.Now().Add(atMost); !condition(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) || ctx.Err() != nil {
			return fmt.Errorf("waited in vain until %s", what)
		}
	}
	s.log("%s", what)
	return nil
}

// configure writes the next version of the operator's configuration, with the named routes.
func (s *site) configure(routes ...string) {
	s.mu.Lock()
	s.version += 3
	version := s.version
	s.mu.Unlock()
	hosts := map[string]string{"jobs": "queue.example", "batch": "batch.example"}
	list := []map[string]any{}
	for _, name := range routes {
		list = append(list, map[string]any{
			"name": name, "host": hosts[name], "prefix": "/jobs/", "service": "render", "timeout-ms": 3000, "target-duration-ms": 1200,
			"priority": 0, "max-attempts": maxAttempts, "stretch": 2.2,
		})
	}
	s.put("op/config", map[string]any{
		"version": version, "routes": list, "services": []map[string]any{{"name": "render", "max-conns": 64}},
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144},
		"tenants": []map[string]any{{"name": team, "api-keys": []string{fake.Key(team)}, "weight": 100, "cap": map[string]any{"cpu": 0}}},
	})
	s.log("the operator's version %d is confirmed, with the routes %s", version, strings.Join(routes, ", "))
}

func (s *site) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.store.Put(key, data)
}

// addWorker adds a worker VM and starts its first boot.
func (s *site) addWorker(id, domain string) error {
	address, err := freeAddresses(1)
	if err != nil {
		return err
	}
	w := &worker{id: id, domain: domain, address: address[0]}
	s.workers = append(s.workers, w)
	return s.boot(w)
}

// boot starts the next boot of a worker, which knows nothing of the last one, and registers it.
func (s *site) boot(w *worker) error {
	listener, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	boot := &fake.Worker{ID: w.id, Born: time.Now().UnixMilli(), Milli: workerMilli, Checker: &s.checker}
	s.checker.SetCapacity(w.id, workerMilli, true)
	server := s.serve(listener, boot.Handler())
	w.mu.Lock()
	w.boot, w.server = boot, server
	w.mu.Unlock()
	s.put("servers/"+w.id, map[string]any{
		"service": "render", "address": w.address, "zone": w.domain, "version": "v1", "slots": 8, "state": "ready", "seq": 1,
		"capacity": map[string]any{"cpu": workerMilli, "mem-mb": 32768}, "labels": []string{"plain", "r-" + w.domain}, "born": boot.Born,
	})
	s.log("worker %s of %s has booted, born %d", w.id, w.domain, boot.Born)
	return nil
}

// crash ends a worker's boot, and with it all that runs there.
func (s *site) crash(w *worker) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s.log("worker %s crashes", w.id)
	_ = w.server.Close()
	w.boot.Crash()
	s.checker.SetCapacity(w.id, workerMilli, false)
}

// endDueRuns has the workers end runs that are due, also while nobody calls them.
func (s *site) endDueRuns() {
	for {
		select {
		case <-s.quit:
			return
		case <-time.After(50 * time.Millisecond):
		}
		for _, w := range s.workers {
			w.mu.Lock()
			boot := w.boot
			w.mu.Unlock()
			boot.EndDueRuns()
		}
	}
}

// noteRun records the start or end of a run that a worker reports, as a line of text.
func (s *site) noteRun(format string, args ...any) {
	line := fmt.Sprintf(format, args...)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.logLocked("%s", line)
	words := strings.Fields(line)
	if len(words) < 4 || words[1] != "run" {
		return
	}
	task := words[0]
	switch words[3] {
	case "starts":
		s.runs[task]++
		s.starts[task]++
	case "ends":
		s.runs[task]--
		s.ends[task] = append(s.ends[task], words[len(words)-1])
		s.lastSeen[jobOf(task)] = time.Now()
	}
}

func jobOf(task string) string { return strings.SplitN(task, ".", 2)[0] }

// count counts the tasks of a job for which a condition holds on their runs and ends.
func (s *site) count(job string, condition func(running int, ends []string) bool) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for task := range s.starts {
		if jobOf(task) == job && condition(s.runs[task], s.ends[task]) {
			n++
		}
	}
	return n
}

// addEntry writes the settings of an entry, from the template of the deploy file.
func (s *site) addEntry(name, domain, store string) error {
	text, err := os.ReadFile(s.template)
	if err != nil {
		return err
	}
	addresses, err := freeAddresses(5)
	if err != nil {
		return err
	}
	config := "{{#bounds.config-ms}}Config = {{.}}ms\n{{/bounds.config-ms}}"
	values := strings.NewReplacer(
		config, "Config = 2000ms\n", "{{node}}", name, "{{zone}}", domain, "{{listen.front}}", addresses[0], "{{listen.ready}}", addresses[1],
		"{{ip}}:{{port-range.0}}", addresses[2], "{{ip}}:{{port-range.1}}", addresses[3], "{{platform.address}}", store, "{{advice}}", addresses[4],
		"{{limits.memory-mb}}", "284", "{{limits.cpu-share}}", "0.4", "{{bounds.hold-max-ms}}", "6000", "{{bounds.status_s}}", "120", "{{bounds.grace-s}}", "6",
	)
	filled := values.Replace(string(text))
	if strings.Contains(filled, "{{") {
		return errors.New("the template has placeholders that are not known here")
	}
	e := &entry{name: name, settings: filepath.Join(s.folder, name+".ini"), callers: addresses[0], ready: addresses[1]}
	s.entries = append(s.entries, e)
	return os.WriteFile(e.settings, []byte(filled), 0o600)
}

// Ports are taken from below the range that the system gives to outgoing connections, so that none of these takes
// one between its choice and its use.
const (
	lowestPort = 12_000
	portCount  = 18_000
)

// freeAddresses returns addresses with ports that are free at the moment.
func freeAddresses(n int) ([]string, error) {
	var out []string
	for range 100 * n {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", lowestPort+rand.N(portCount)))
		if err != nil {
			continue
		}
		defer func() { _ = l.Close() }()
		if out = append(out, l.Addr().String()); len(out) == n {
			return out, nil
		}
	}
	return nil, errors.New("no free ports")
}

// startEntry starts an entry's process and follows its log for who is the planner.
func (s *site) startEntry(e *entry) error {
	cmd := exec.Command(s.program, "serve", "-c", e.settings)
	cmd.Env = append(os.Environ(), "GOMAXPROCS=1")
	cmd.Stdout = &lines{each: func(line string) {
		if os.Getenv("REVIEW_DEBUG") != "" {
			fmt.Fprintln(os.Stderr, e.name, line)
		}
		if strings.Contains(line, `"office taken"`) {
			s.setPlanner(e)
		}
	}}
	cmd.Stderr = cmd.Stdout
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	s.mu.Lock()
	e.process, e.done = cmd, done
	s.mu.Unlock()
	s.log("%s started", e.name)
	s.group.Go(func() {
		_ = cmd.Wait()
		close(done)
	})
	return nil
}

// kill ends an entry's process with SIGKILL. The platform starts it again after a short delay.
func (s *site) kill(e *entry) error {
	s.log("%s is killed", e.name)
	s.endProcess(e)
	time.Sleep(restartDelay)
	return s.startEntry(e)
}

func (s *site) endProcess(e *entry) {
	s.mu.Lock()
	process, done := e.process, e.done
	s.mu.Unlock()
	if process != nil {
		_ = process.Process.Kill()
		<-done
	}
}

func (s *site) setPlanner(e *entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.planner = e
	s.logLocked("%s is the planner", e.name)
}

func (s *site) currentPlanner() *entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.planner
}

func isReady(e *entry) bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + e.ready + "/api/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// nextEntry returns the entry that the platform forwards the next channel to.
func (s *site) nextEntry() *entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sends++
	return s.entries[s.sends%len(s.entries)]
}

// submit hands a job in, at other entries until one answers that it has accepted the job.
func (s *site) submit(ctx context.Context, job fake.Job) error {
	for range 8 {
		e := s.nextEntry()
		status := s.caller.Submit(ctx, e.callers, job)
		s.log("POST %s at %s: %d", job.ID, e.name, status)
		if status == http.StatusOK {
			return nil
		}
		time.Sleep(300 * time.Millisecond)
	}
	return fmt.Errorf("job %s was not accepted", job.ID)
}

// state asks for a job's state, and returns an empty one if there is no answer.
func (s *site) state(ctx context.Context, job fake.Job) string {
	e := s.nextEntry()
	status, state := s.caller.State(ctx, e.callers, job)
	s.log("GET %s at %s: %d %s", job.ID, e.name, status, state)
	return state
}

// stop ends all processes of entries.
func (s *site) stop() {
	if s.quit == nil {
		return
	}
	close(s.quit)
	for _, e := range s.entries {
		s.endProcess(e)
	}
	_ = os.RemoveAll(s.folder) // The servers end with this process.
}

// lines is a writer that passes on each line.
type lines struct {
	each func(string)
	rest []byte
}

// Write implements io.Writer.
func (l *lines) Write(data []byte) (int, error) {
	l.rest = append(l.rest, data...)
	for {
		line, rest, found := bytes.Cut(l.rest, []byte("\n"))
		if !found {
			return len(data), nil
		}
		l.each(string(line))
		l.rest = rest
	}
}
