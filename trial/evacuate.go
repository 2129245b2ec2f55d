package trial

import (
	"strconv"
	"time"
)

const (
	// evacuatedDomains is the number of failure domains over which the workers of a pattern with
	// evacuations are spread.
	evacuatedDomains = 3
	// coldSlowdown is the factor by which work takes longer at a cold worker.
	coldSlowdown = 3
)

// Evacuation takes a failure domain, 0 to 2, out of use for a while. Its workers are slow for Cold after
// their return.
type Evacuation struct {
	Domain        int
	At, For, Cold time.Duration
}

// domainOf returns the failure domain of a service's i-th worker, "" in patterns without evacuations.
func (p *Pattern) domainOf(i int) string {
	if p.Domains > 0 {
		return domainName(i % p.Domains)
	}
	if len(p.Evacuations) == 0 {
		return ""
	}
	return domainName(i % evacuatedDomains)
}

func domainName(i int) string { return "d" + strconv.Itoa(i) }

// scheduleEvacuations schedules the evacuations of the pattern.
func (r *simRegion) scheduleEvacuations() {
	for _, e := range r.pattern.Evacuations {
		domain := domainName(e.Domain)
		r.schedule(e.At, func() { r.evacuate(domain, true) })
		r.schedule(e.At+e.For, func() {
			for _, w := range r.workers {
				if w.vm.Domain == domain {
					w.coldUntil, w.vm.ColdLeft = r.now.Add(e.Cold), e.Cold
				}
			}
			r.sendWorkerList()
			r.evacuate(domain, false)
		})
	}
}

// evacuate evacuates or restores a failure domain.
func (r *simRegion) evacuate(domain string, evacuated bool) {
	r.evacuated[domain] = evacuated
	var domains []string
	for _, name := range sortedKeys(r.evacuated) {
		if r.evacuated[name] {
			domains = append(domains, name)
		}
	}
	r.planner.SetEvacuated(domains)
	r.scheduleDecision()
}

// runTime returns how long work takes that begins at the worker now, given how long it takes at a warm
// and healthy one.
func (w *workerState) runTime(now time.Time, work time.Duration) time.Duration {
	if w.speed != 1 {
		work = time.Duration(w.speed * float64(work))
	}
	cold := max(0, w.coldUntil.Sub(now))
	if slow := coldSlowdown * work; slow <= cold {
		return slow
	}
	return cold + work - cold/coldSlowdown
}
