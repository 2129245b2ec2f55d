package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

var cases = map[string]func(s *store, address string){
	"stops": playStops, "nextboot": playNextBoot, "withdrawn": playWithdrawn, "reserve": playReserve,
}

func oneKind(int) string { return "a" }

// playStops cancels one of four submissions, a large one. Its tasks have to be gone cancel_ms + stop-ms after the
// acknowledgement.
func playStops(s *store, address string) {
	configure(s, 7, queue{"r-batch", "/lohu930/", 2, 4})
	startExecutors(s, 2, 128_000, 262_144, oneKind)
	startEntries(address)
	counts := []int{32, 400, 32, 32}
	for n, count := range counts {
		submit(n, "/lohu930/"+newID(n), fmt.Sprintf(`{"spec":"run 100000","phases":[{"count":%d,"cpu":500,"mem-mb":256,"estimate-ms":100000}]}`, count))
	}
	wait("all tasks to run", 60*time.Second, func() bool {
		for n, count := range counts {
			if activeOf(newID(n)) < count {
				return false
			}
		}
		return true
	})
	record("all tasks run")
	time.Sleep(2 * time.Second)
	cancelled, count := newID(1), counts[1]
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

// playReserve has one tenant send many times its usual urgent work for some seconds, beside other work that waits. From
// finish_s after the end of the traffic, nothing may wait for 3 s beside a service that is less than half in use.
func playReserve(s *store, address string) {
	configure(s, 7, queue{"r-urgent", "/lohu930/", 0, 2}, queue{"r-batch", "/pufi791/", 2, 4})
	const executors, cores, batch, need = 8, 16, 12, 5
	startExecutors(s, executors, 1000*cores, 32_768, oneKind)
	startEntries(address)
	time.Sleep(2 * time.Second)
	var group sync.WaitGroup
	urgent := 0
	send := func(perSecond int, length time.Duration) {
		for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(time.Second / time.Duration(perSecond)) {
			n := urgent
			urgent++
			group.Add(1)
			go func() {
				defer group.Done()
				call(entries[n%len(entries)], http.MethodPost, "/lohu930/"+newID(1000+n),
					`{"spec":"run 1000","phases":[{"count":2,"cpu":1000,"mem-mb":64,"estimate-ms":1000}]}`, 3*time.Second)
			}()
		}
	}
	send(20, 4*time.Second)
	for n := range batch {
		submit(n, "/pufi791/"+newID(n), fmt.Sprintf(`{"spec":"run 6000","phases":[{"count":8,"cpu":%d,"mem-mb":256,"estimate-ms":6000}]}`, 1000*need))
	}
	if trouble {
		send(150, 6500*time.Millisecond)
	} else {
		send(20, 6500*time.Millisecond)
	}
	group.Wait()
	ended := time.Now()
	record("the traffic has ended")
	time.Sleep(finishS)
	idleSince := make(map[string]time.Time) // idleSince is since when a submission waits though it need not.
	for time.Since(ended) < finishS+12*time.Second {
		used, free := inUse(cores, need)
		now := time.Now()
		for n := range batch {
			id := newID(n)
			done, running := progressOf(id)
			if done == 8 || running > 0 || 2*used >= executors*cores || free < 2 {
				delete(idleSince, id)
				continue
			}
			if _, known := idleSince[id]; !known {
				idleSince[id] = now
				record("%s has nothing running; %d of %d cores are in use, %d tasks of it would fit", id, used, executors*cores, free)
			}
			if now.Sub(idleSince[id]) > 3*time.Second {
				finish(1, "broken: %.1f s after the end of the traffic %s has had nothing running for 3 s, with %d of %d cores in use and room for %d of its tasks",
					time.Since(ended).Seconds(), id, used, executors*cores, free)
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	finish(0, "held: no submission waited beside a service that was less than half in use")
}
