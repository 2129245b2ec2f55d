package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

var cases = map[string]func(s *store, address string){
	"stops": playStops, "nextboot": playNextBoot, "failures": playFailures, "withdrawn": playWithdrawn,
}

func oneKind(int) string { return "a" }

// playStops cancels one of four large submissions. Its tasks have to be gone cancel_ms + stop-ms after the
// acknowledgement.
func playStops(s *store, address string) {
	configure(s, 7, queue{"r-batch", "/lohu930/", 2, 4})
	startExecutors(s, 2, 128_000, 262_144, oneKind)
	startEntries(address)
	const count = 640
	for n := range 4 {
		submit(n, "/lohu930/"+newID(n), fmt.Sprintf(`{"spec":"run 100000","phases":[{"count":%d,"cpu":80,"mem-mb":64,"estimate-ms":100000}]}`, count))
	}
	wait("all tasks to run", 60*time.Second, func() bool {
		return activeOf(newID(0)) == count && activeOf(newID(1)) == count && activeOf(newID(2)) == count && activeOf(newID(3)) == count
	})
	record("all %d tasks run", 4*count)
	time.Sleep(2 * time.Second)
	cancelled := newID(1)
	if !trouble {
		time.Sleep(15 * time.Second)
		finish(0, "held: nothing was cancelled")
	}
	var acknowledged time.Time
	for try := 0; acknowledged.IsZero(); try++ {
		if status, _ := call(entries[try%len(entries)], http.MethodDelete, "/lohu930/"+cancelled, "", 3*time.Second); status == http.StatusOK {
			acknowledged = time.Now()
		} else if try == 4 {
			cannotRun("the cancel was not acknowledged")
		}
	}
	time.Sleep(time.Until(acknowledged.Add(cancelMS + stopMS)))
	record("%v after the acknowledgement %d tasks of %s run", cancelMS+stopMS, activeOf(cancelled), cancelled)
	time.Sleep(10 * time.Second)
	if n := activeOf(cancelled); n > 0 {
		finish(1, "broken: %.1f s after its cancelling was acknowledged, %d of %d tasks of %s run on", time.Since(acknowledged).Seconds(), n, count, cancelled)
	}
	finish(0, "held: no task of the cancelled submission runs")
}

// playNextBoot has one start among many get no answer. The executor answers the stop, crashes and starts again under its id;
// the start arrives late, at the next boot. No task may run on two executors at the same time.
func playNextBoot(s *store, address string) {
	configure(s, 7, queue{"r-batch", "/pufi791/", 2, 4})
	list := startExecutors(s, 8, 16_000, 32_768, oneKind)
	startEntries(address)
	time.Sleep(10 * time.Second)
	x := list[3]
	x.mu.Lock()
	x.keepNext = trouble
	x.mu.Unlock()
	for n := range 5 {
		submit(n, "/pufi791/"+newID(n), `{"spec":"run 12000","phases":[{"count":24,"cpu":500,"mem-mb":64,"estimate-ms":12000,"max-per`+`-server":4}]}`)
	}
	if trouble {
		wait("a start that gets no answer", 5*time.Second, func() bool {
			x.mu.Lock()
			defer x.mu.Unlock()
			return x.kept != nil
		})
		time.Sleep(1800 * time.Millisecond)
		x.crash()
		time.Sleep(400 * time.Millisecond)
		x.boot()
	}
	time.Sleep(20 * time.Second)
	seenMu.Lock()
	found := append([]string{}, twice...)
	seenMu.Unlock()
	if len(found) > 0 {
		finish(1, "broken: %s", found[0])
	}
	finish(0, "held: no task ran on two executors at the same time")
}

// playFailures hands in submissions of which a twentieth can't be done, and then one that lasts. That has to run.
func playFailures(s *store, address string) {
	configure(s, 7, queue{"r-batch", "/pufi791/", 2, 4}, queue{"r-lasting", "/pule252/", 1, 4})
	startExecutors(s, 8, 16_000, 32_768, oneKind)
	startEntries(address)
	time.Sleep(2 * time.Second)
	for n := range 60 {
		spec, count, cpu := "run 60000", 1, 500
		if trouble && n%20 == 10 {
			spec = "fail 300"
		}
		if n%20 == 10 {
			count, cpu = 64, 100
		}
		submit(n, "/pufi791/"+newID(n), fmt.Sprintf(`{"spec":%q,"phases":[{"count":%d,"cpu":%d,"mem-mb":64,"estimate-ms":60000,"max-per`+`-server":8}]}`, spec, count, cpu))
		time.Sleep(45 * time.Millisecond)
	}
	record("all submissions are handed in")
	time.Sleep(5 * time.Second)
	id := newID(100)
	accepted := submit(0, "/pule252/"+id, `{"spec":"lasting","phases":[{"count":8,"cpu":500,"mem-mb":256,"long-running":true}]}`)
	for time.Since(accepted) < 40*time.Second && activeOf(id) == 0 {
		time.Sleep(50 * time.Millisecond)
	}
	waited := time.Since(accepted)
	record("%s has %d tasks running %.1f s after its acceptance", id, activeOf(id), waited.Seconds())
	if waited > 7*time.Second {
		finish(1, "broken: %s had nothing running for %.1f s, with eight executors up and most of their capacity free", id, waited.Seconds())
	}
	finish(0, "held: it runs after %.1f s", waited.Seconds())
}

// playWithdrawn has the store lose the answers to a quarter of the submissions and carry these out late. Their
// consumers leave, and cancel at another entry. What is cancelled must not run on.
func playWithdrawn(s *store, address string) {
	configure(s, 7, queue{"r-lasting", "/pule252/", 1, 4})
	startExecutors(s, 8, 16_000, 32_768, oneKind)
	startEntries(address)
	time.Sleep(2 * time.Second)
	lost := make(map[string]bool)
	if trouble {
		s.mu.Lock()
		s.lose = func(keys []string) time.Duration {
			for _, key := range keys {
				if id, ok := strings.CutPrefix(key, "job/"); ok && lost[id] {
					return 5 * time.Second
				}
			}
			return 0
		}
		s.mu.Unlock()
	}
	acknowledged := make(map[string]time.Time)
	for n := range 12 {
		id := newID(n)
		lost[id] = n%4 == 1
		path, body := "/pule252/"+id, `{"spec":"lasting","phases":[{"count":2,"cpu":500,"mem-mb":256,"long-running":true}]}`
		if !lost[id] {
			submit(n, path, body)
			continue
		}
		status, _ := call(entries[n%len(entries)], http.MethodPost, path, body, time.Second)
		if status == 0 || !trouble {
			if answer, _ := call(entries[(n+1)%len(entries)], http.MethodDelete, path, "", 3*time.Second); answer == http.StatusOK || answer == http.StatusGone {
				acknowledged[id] = time.Now()
			}
		}
	}
	if len(acknowledged) == 0 {
		cannotRun("no cancel was acknowledged")
	}
	time.Sleep(20 * time.Second)
	worst := 0
	for id, at := range acknowledged {
		record("%.1f s after its cancelling was acknowledged, %d tasks of %s run, %d were started", time.Since(at).Seconds(), activeOf(id), id, startsOf(id))
		worst = max(worst, activeOf(id))
	}
	if worst > 0 {
		finish(1, "broken: tasks run of submissions whose cancelling was acknowledged over 15 s ago")
	}
	finish(0, "held: nothing runs of the cancelled submissions")
}
