package fleet

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"plantainwinch/winch"
)

const (
	// peakHalf is how long it takes until half of a past peak of urgent demand is
	// not kept free any more. Urgent jobs run for seconds and come in waves of some
	// ten seconds; room kept free for much longer than that would stand idle.
	peakHalf = 6 * time.Second
	// poolPart is the most of the room of a service's workers that is kept free for
	// urgent work: one team that sends many times its usual would else keep all other work
	// waiting beside idle machines. Of its own limit a team's urgent work may have
	// all kept free: long work started there delays the next burst by seconds.
	poolPart = 0.5
	teamPart = 1.0
)

// pool is the workers of one service.
type pool struct {
	// room is that of all usable workers, free what of it was free at the last
	// Schedule, less what has been started since.
	room, free winch.Room
	urgent     demand
	// workers are those that may be given work, by ID, as of the last Schedule.
	workers []*worker
	// most is the largest free room of each kind at any of them as of the last Schedule:
	// what does not fit into it fits nowhere.
	most winch.Room
	// misses are the shapes that no worker had room for in the last Schedule.
	misses []shape
}

func (p *Planner) pool(service string) *pool {
	x := p.pools[service]
	if x == nil {
		x = &pool{}
		p.pools[service] = x
	}
	return x
}

// demand is how much urgent work a team, or a service, has lately wanted to
// run at once. Work that is not urgent leaves that much free: it runs for long,
// and an urgent task that finds the limit reached by it would wait for its end.
type demand struct {
	used winch.Room // used is what runs of it now.
	want winch.Room // want adds what waits.
	peak winch.Room
	at   time.Time
}

// begin starts a new count of what is wanted.
func (d *demand) begin() {
	d.want = d.used
}

// end takes the count over into the peak.
func (d *demand) end(now time.Time) {
	keep := 1.0
	if !d.at.IsZero() {
		keep = math.Exp2(-now.Sub(d.at).Seconds() / peakHalf.Seconds())
	}
	d.at = now
	d.peak = winch.Room{
		Milli:        max(d.want.Milli, int64(keep*float64(d.peak.Milli))),
		Memory:       max(d.want.Memory, winch.Bytes(keep*float64(d.peak.Memory))),
		Accelerators: max(d.want.Accelerators, int(keep*float64(d.peak.Accelerators))),
	}
}

// reserve is what is to be left free of a limit or of all room, at most a part.
func (d *demand) reserve(whole winch.Room, part float64) winch.Room {
	return winch.Room{
		Milli:        max(0, min(d.peak.Milli, share(whole.Milli, part))-d.used.Milli),
		Memory:       max(0, min(d.peak.Memory, share(whole.Memory, part))-d.used.Memory),
		Accelerators: max(0, min(d.peak.Accelerators, share(whole.Accelerators, part))-d.used.Accelerators),
	}
}

func share[T ~int | ~int64](whole T, part float64) T {
	return T(part * float64(whole))
}

// quick reports whether the job is of a queue whose work is urgent. It runs for
// seconds at most, so it need not leave room free for others of its kind.
func (j *job) quick() bool {
	return j.queue != nil && j.queue.Priority == 0
}

// urgent reports whether the job comes before others. What a team hands in beyond
// its share does not: the others would wait behind it.
func (j *job) urgent() bool {
	return j.quick() && !j.excess
}

// measure takes the room of all workers, puts the ready steps into their order, and counts
// the urgent work of all teams.
func (p *Planner) measure(now time.Time, adopting bool) {
	for _, x := range p.pools {
		x.urgent.begin()
		x.room, x.free, x.most = winch.Room{}, winch.Room{}, winch.Room{}
		clear(x.workers)
		x.workers, x.misses = x.workers[:0], x.misses[:0]
	}
	for _, t := range p.teams {
		t.urgent.begin()
	}
	p.measureRoom()
	p.order(now, adopting)
	for _, x := range p.pools {
		x.urgent.end(now)
	}
	for _, t := range p.teams {
		t.urgent.end(now)
	}
}

// measureRoom takes the room of the workers that may be given work.
func (p *Planner) measureRoom() {
	if p.unsorted {
		p.unsorted = false
		p.byID = slices.SortedFunc(maps.Values(p.workers), func(a, b *worker) int { return cmp.Compare(a.vm.ID, b.vm.ID) })
		for i, w := range p.byID {
			w.order = i
		}
	}
	var x *pool
	service := ""
	for _, w := range p.byID {
		if !w.usable() {
			continue
		}
		if x == nil || w.vm.Service != service {
			service = w.vm.Service
			x = p.pool(service)
		}
		left := w.free()
		x.room, x.free = x.room.Add(w.vm.Room), x.free.Add(left)
		x.workers = append(x.workers, w)
		x.most = winch.Room{
			Milli: max(x.most.Milli, left.Milli), Memory: max(x.most.Memory, left.Memory), Accelerators: max(x.most.Accelerators, left.Accelerators),
		}
	}
}

// countWaiting adds what waits of a step to the demand of urgent work.
func (p *Planner) countWaiting(s *step) {
	if !s.job.urgent() {
		return
	}
	need := s.spec.Need.Times(s.waiting)
	for _, d := range s.job.demands() {
		d.want = d.want.Add(need)
	}
}

// demands returns the demands that the job's work counts to.
func (j *job) demands() [2]*demand {
	return [2]*demand{&j.planner.pool(j.queue.Service).urgent, &j.team.urgent}
}

// countUrgent counts a run while it is one of urgent work, and takes it back else.
func (r *run) countUrgent(on bool) {
	on = on && r.task != nil && !r.stopping && r.task.step.job.urgent()
	if on == r.urgent {
		return
	}
	r.urgent = on
	for _, d := range r.task.step.job.demands() {
		if on {
			d.used = d.used.Add(r.need)
		} else {
			d.used = d.used.Sub(r.need)
		}
	}
}

// recountUrgent counts all runs anew: a configuration may have changed what is urgent.
func (p *Planner) recountUrgent() {
	for _, x := range p.pools {
		x.urgent.used = winch.Room{}
	}
	for _, t := range p.teams {
		t.urgent.used = winch.Room{}
	}
	for _, w := range p.workers {
		for _, r := range w.runs {
			r.urgent = false
			r.countUrgent(true)
		}
	}
}
