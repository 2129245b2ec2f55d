package main

import (
	"fmt"
	"net/http"
	"time"
)

// trafficFor is how long a consumer hands small submissions in, one every trafficEvery.
const (
	trafficFor   = 20 * time.Second
	trafficEvery = time.Second
)

// handIn hands small submissions of duct in for trafficFor, and returns those that were accepted. It calls trouble after a
// quarter of that time.
func (c *cluster) handIn(trouble func()) (ids []string) {
	for n := range int(trafficFor / trafficEvery) {
		next := time.Now().Add(trafficEvery)
		if n == int(trafficFor/trafficEvery)/4 {
			trouble()
		}
		id := fmt.Sprintf("%016x", 0xb000+n)
		if c.submit(n, routes[0], id, "duct", small("preview")) {
			ids = append(ids, id)
		}
		time.Sleep(time.Until(next))
	}
	return ids
}

// judgeIdle applies the last part of the rule LOST: finish_s after the end of the traffic, a submission has nothing running for
// 3 s while a task's turn has come, there is capacity for it, its tenant has under half of its cap, and under half of the
// service's capacity is in use. It looks for lookFor.
func (c *cluster) judgeIdle(tenant string, r route, ids []string) int {
	time.Sleep(finishAfter)
	since := make(map[string]time.Time)
	longest := make(map[string]time.Duration)
	for end := time.Now().Add(lookFor); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for _, id := range ids {
			running, done, share := c.site.view(id)
			if running > 0 || done == 2 || share >= 0.5 {
				delete(since, id)
				continue
			}
			if since[id].IsZero() {
				since[id] = time.Now()
			}
			longest[id] = max(longest[id], time.Since(since[id]))
		}
	}
	lost := 0
	for n, id := range ids {
		if longest[id] < nothingRunsLimit {
			continue
		}
		lost++
		_, done, share := c.site.view(id)
		c.rec.line("LOST: %s had nothing running for %.1f s; now %d of its 2 tasks are done, %.0f %% of the capacity is in use", id, longest[id].Seconds(), done, 100*share)
		if lost <= 3 {
			c.call(n, http.MethodGet, r, id, tenant, nil)
		}
	}
	taken, replaced := c.terms()
	c.rec.line("%d of %d accepted submissions of %s are lost by the rule; the office was taken %d times, %d times since a standby had ended it",
		lost, len(ids), tenant, taken, replaced)
	if lost > 0 {
		return broken
	}
	return held
}

// largeCount is how many tasks the large submission has.
const largeCount = 100_000 // It is the most that an entry accepts.

// playLarge hands in one large submission of small tasks beside the submissions of another tenant.
func playLarge(c *cluster, trouble bool) int {
	ids := c.handIn(func() {
		if trouble {
			c.submit(0, routes[1], fmt.Sprintf("%016x", 0xc000), "choir", submission{
				Spec: "mix 1s", Phases: []phase{{Count: largeCount, capacity: capacity{CPU: 1, MemMB: 1}, Estimate: 1000}},
			})
		}
	})
	return c.judgeIdle("duct", routes[0], ids)
}

// lookFor is how long it is looked for submissions of which nothing runs.
const lookFor = 10 * time.Second

// timedCount timed submissions are handed in, each due every second of a day.
const (
	timedCount = 4
	timedTimes = 24 * 3600
)

// playTimed hands in timed submissions of which nothing is due yet, beside the submissions of another tenant.
func playTimed(c *cluster, trouble bool) int {
	ids := c.handIn(func() {
		for n := range timedCount {
			times := timedTimes
			if !trouble {
				times = 8
			}
			c.submit(n, routes[1], fmt.Sprintf("%016x", 0xc000+n), "choir", submission{
				Spec: "mix 1s", Phases: []phase{{Count: 1, capacity: capacity{CPU: 100, MemMB: 64}, Estimate: 1000}},
				Times: times, First: time.Now().Add(time.Hour).UnixMilli(), Every: 1000,
			})
		}
	})
	result := c.judgeIdle("duct", routes[0], ids)
	peak, faulty := c.memory()
	c.rec.line("the largest entry has had %d MB of memory, of %d MB that a machine has", peak, memoryLimitMB)
	if faulty >= 2 {
		c.rec.line("Fault: %d of %d machines were over their memory three times or more", faulty, len(c.entries))
		result = broken
	}
	return result
}

// waveCount submissions are handed in within waveFor, of which one can never be done: a share of 0.05.
const (
	waveCount = 20
	waveFor   = 3 * time.Second
)

// wave hands in urgent submissions of a tenant, the given one among small ones, and reports whether the given one was
// accepted.
func (c *cluster) wave(tenant, id string, special submission) (accepted bool) {
	for n := range waveCount {
		next := time.Now().Add(waveFor / waveCount)
		if n == waveCount/2 {
			accepted = c.submit(n, routes[0], id, tenant, special)
		} else {
			c.submit(n, routes[0], fmt.Sprintf("%016x", 0xd000+n), tenant, small("preview"))
		}
		time.Sleep(time.Until(next))
	}
	return accepted
}

// Of the hopeless submission: as many tasks as the sheet's widest previews have, each of as many cores.
const (
	hopelessCount = 36
	hopelessCPU   = 3800
)

// playHopeless hands in a wave of urgent submissions, one of which no executor can run, and then others of the same tenant
// that are not urgent.
func playHopeless(c *cluster, trouble bool) int {
	special := submission{Spec: "preview 500ms", Phases: []phase{{Count: hopelessCount, capacity: capacity{CPU: hopelessCPU, MemMB: 2300}, Estimate: 500}}}
	if trouble {
		special.Phases[0].Requires = "b" // All executors are of the kind a.
	}
	if !c.wave("parish", fmt.Sprintf("%016x", 0xc000), special) {
		return unclear
	}
	time.Sleep(3 * time.Second)
	var ids []string
	for n := range 5 {
		id := fmt.Sprintf("%016x", 0xb000+n)
		if c.submit(n, routes[1], id, "parish", small("mix")) {
			ids = append(ids, id)
		}
		time.Sleep(time.Second)
	}
	return c.judgeIdle("parish", routes[1], ids)
}

// playSameID has a consumer of another tenant choose, on its own queue, the ID of a submission that runs.
func playSameID(c *cluster, trouble bool) int {
	const shared = "00000000000d0001"
	first := submission{Spec: "invoice of choir 6s", Phases: []phase{{Count: 3, capacity: capacity{CPU: 1000, MemMB: 256}, Estimate: 6000}}}
	second := submission{Spec: "invoice of duct 500ms", Phases: []phase{{Count: 1, capacity: capacity{CPU: 1000, MemMB: 256}, Estimate: 500}}}
	other := "00000000000d0002"
	if trouble {
		other = shared
	}
	if !c.submit(0, routes[0], shared, "choir", first) {
		return unclear
	}
	time.Sleep(time.Second)
	accepted := c.submit(1, routes[1], other, "duct", second)
	time.Sleep(3 * time.Second)
	_, state := c.call(2, http.MethodGet, routes[1], other, "duct", nil)
	ran := false
	for _, spec := range c.site.starts(other) {
		ran = ran || spec == second.Spec
	}
	result := held
	if accepted && !ran {
		c.rec.line("LOST: the submission of duct was accepted and has not run 3 s later, with nearly all capacity free; it is shown as %q", state)
		result = broken
	}
	if accepted {
		c.call(3, http.MethodDelete, routes[1], other, "duct", nil)
	}
	time.Sleep(time.Second)
	_, state = c.call(4, http.MethodGet, routes[0], shared, "choir", nil)
	if state == "cancelled" {
		c.rec.line("LOST: the submission of choir, which nobody has cancelled, is shown as cancelled")
		result = broken
	}
	time.Sleep(6 * time.Second)
	_, state = c.call(5, http.MethodGet, routes[0], shared, "choir", nil)
	_, done, _ := c.site.view(shared)
	c.rec.line("the submission of choir is shown as %q, %d of its 3 tasks are done", state, done)
	if state != "completed" || done != 3 {
		result = broken
	}
	return result
}

// reuseKeep takes the place of the sites' 120 s, which would make the case longer than a script may be.
const reuseKeep = "30s"

// playReuse hands in a submission and, once the entries say that it does not exist any more, another one with the same ID.
func playReuse(c *cluster, trouble bool) int {
	const id = "00000000000f0009"
	first, second := small("first order"), small("second order")
	if !c.submit(0, routes[0], id, "choir", first) || !c.await(id, "choir", routes[0], 8*time.Second) {
		return unclear
	}
	for began := time.Now(); ; time.Sleep(time.Second) {
		if status, _ := c.call(0, http.MethodGet, routes[0], id, "choir", nil); status == http.StatusGone {
			break
		}
		if time.Since(began) > 80*time.Second {
			return unclear
		}
	}
	next := id
	if !trouble {
		next = "00000000000f000a"
	}
	before := len(c.site.starts(next))
	if !c.submit(1, routes[0], next, "choir", second) {
		return unclear
	}
	time.Sleep(4 * time.Second)
	c.call(2, http.MethodGet, routes[0], next, "choir", nil)
	starts := c.site.starts(next)[before:]
	if len(starts) < second.Phases[0].Count {
		return unclear
	}
	result := held
	for _, spec := range starts {
		if spec != second.Spec {
			c.rec.line("UNASKED: the submission with spec %q was accepted, and an executor is told to start it with spec %q", second.Spec, spec)
			result = broken
		}
	}
	return result
}
