package fleet

import (
	"cmp"
	"math"
	"slices"
	"time"

	"plantainwinch/winch"
)

const (
	// firstShare is the share of workers that is taken to be allowed before a
	// queue's first answer.
	firstShare = 0.4
	// shareStep is how much one answer moves what is known of a queue's share.
	shareStep = 0.2
	// turnStep is how much one answer moves what is known of a queue's turnaround.
	turnStep = 0.2
	// askLeast and askMost bound the workers of one question; the service takes
	// 100 at most.
	askLeast = 8
	askMost  = 100
	// askSpare is how many times the room that a step needs is asked for, since
	// other work takes some of it before the answer comes.
	askSpare = 2.0
	// adviceWorkers is the number of workers in the question that objectives allow for.
	adviceWorkers = 30
	// askAgain is the pause after a question that failed.
	askAgain = 100 * time.Millisecond
	// starvingAfter is after how long without a question a step counts as waiting long for
	// one. One in starvingShare of the openings is left to such steps.
	starvingAfter = 3 * time.Second
	starvingShare = 8
)

// Openings is how many questions may be asked, urgent and others.
type Openings struct {
	Urgent, Usual int
}

// unbounded lets everything be asked at once.
var unbounded = Openings{math.MaxInt, math.MaxInt}

// of returns the openings for a step's questions.
func (o *Openings) of(s *step) *int {
	if s.job.quick() {
		return &o.Urgent
	}
	return &o.Usual
}

// advise asks which workers may run a step, if it has tasks that wait, or some more
// that are to move, and no worker with room and a good ticket for them.
func (p *Planner) advise(s *step, now time.Time, r rank, moving int) {
	if !p.wantsAdvice(s, now, moving) {
		return
	}
	if left := *p.Openings.of(s); left > p.starvingPart(s) || moving > 0 && left > 0 {
		p.askFor(s, now, r, moving)
	} else if now.Sub(later(s.since, s.known.asked)) > starvingAfter {
		p.starving = append(p.starving, waiting{s, r})
	}
}

// wantsAdvice reports whether a question about a step is due.
func (p *Planner) wantsAdvice(s *step, now time.Time, moving int) bool {
	if s.job.queue.Advice == nil || s.waiting+moving == 0 || s.known.asking || now.Before(s.known.retry) {
		return false
	}
	// What moves takes no more of its team's limit than it has.
	return (moving > 0 || s.job.team.allows(s.spec.Need)) && p.spare(s)
}

// starvingPart is how many of the openings are left to steps that have waited long for
// a question.
func (p *Planner) starvingPart(s *step) int {
	if *p.asOpened.of(s) == math.MaxInt {
		return 0
	}
	return *p.asOpened.of(s) / starvingShare
}

// askStarving asks for steps that have waited long for a question, the longest first:
// by rank alone those with the lowest would never be asked about while lanes are few.
func (p *Planner) askStarving(now time.Time) {
	slices.SortFunc(p.starving, func(a, b waiting) int {
		return cmp.Or(later(a.step.since, a.step.known.asked).Compare(later(b.step.since, b.step.known.asked)), compareWaiting(a, b))
	})
	for _, e := range p.starving {
		if *p.Openings.of(e.step) > 0 {
			p.askFor(e.step, now, e.rank, 0)
		}
	}
	clear(p.starving)
	p.starving = p.starving[:0]
}

// askFor asks about a step, unless workers with room and good tickets suffice.
func (p *Planner) askFor(s *step, now time.Time, r rank, moving int) {
	cost := s.job.queue.Advice
	wanted := s.waiting + moving
	covered := p.covered(s, now)
	if covered >= wanted {
		return
	}
	ids := p.toAsk(s, now, wanted-covered)
	if len(ids) == 0 {
		return
	}
	*p.Openings.of(s)--
	s.known.asking, s.known.asked = true, now
	p.counts.Asked++
	p.asks = append(p.asks, Ask{
		Phase: s.id(), Workers: ids, Urgent: s.job.quick(), Rank: float64(r.class)*1e6 + r.key,
		Cost: cost.Call + time.Duration(len(ids))*cost.Worker, Asked: now,
	})
}

// covered counts the tasks that fit into workers with good tickets.
func (p *Planner) covered(s *step, now time.Time) int {
	n := 0
	if !s.spec.Charge().Fits(p.pool(s.job.queue.Service).most) {
		return 0
	}
	counts := s.perWorker()
	p.eachCandidate(s, now, func(w *worker) {
		n += s.fitInto(p.openRoom(s, w, now), roomFor(s.spec.MostPerVM, counts[w]))
	})
	return n
}

// fitInto returns how many tasks of a step fit into some room of a worker, at most some.
func (s *step) fitInto(left winch.Room, most int) int {
	charge := s.spec.Charge()
	n := min(len(s.tasks), most)
	if charge.Milli > 0 {
		n = min(n, int(left.Milli/charge.Milli))
	}
	if charge.Memory > 0 {
		n = min(n, int(left.Memory/charge.Memory))
	}
	if charge.Accelerators > 0 {
		n = min(n, left.Accelerators/charge.Accelerators)
	}
	return max(0, n)
}

// option is a worker that could be asked about.
type option struct {
	w     *worker
	fit   int
	known bool // known says that the step is allowed there and only needs a ticket.
	score float64
}

// toAsk chooses the workers to ask about for some tasks: those with room, or with room by
// the time of the answer where the step is known to be allowed, as many as probably
// suffice. A first question names as many as cost no more than the question itself.
func (p *Planner) toAsk(s *step, now time.Time, wanted int) []string {
	first := p.Policy.AskAll && s.known.asked.IsZero()
	full := !s.spec.Charge().Fits(p.pool(s.job.queue.Service).most)
	if full && len(s.slots) == 0 && !first {
		return nil
	}
	options := p.options(s, now, first)
	var out []string
	room := 0.0
	need := askSpare * float64(wanted)
	for _, o := range options {
		if o.fit == 0 || len(out) == askMost || len(out) >= askLeast && room >= need {
			break
		}
		out = append(out, o.w.vm.ID)
		if o.known {
			room += float64(o.fit)
		} else {
			room += float64(o.fit) * max(0.1, s.job.queue.share)
		}
	}
	if first {
		for _, o := range options[len(out):] {
			if len(out) >= askMost || time.Duration(len(out))*s.job.queue.Advice.Worker >= s.job.queue.Advice.Call {
				break
			}
			out = append(out, o.w.vm.ID)
		}
	}
	return out
}

// What a search marks workers as.
const (
	markDenied = iota + 1
	markGood
	markKnown
)

// markAsked marks the workers that are known to be allowed or not.
func (p *Planner) markAsked(s *step, now time.Time) {
	p.marks++
	mark := func(w *worker, as int) { w.mark, w.markedAs = p.marks, as }
	for _, w := range s.known.denied {
		mark(w, markDenied)
	}
	for i := range s.known.allowed {
		t := &s.known.allowed[i]
		if t.good(now) && !s.outlasts(t.worker, *t) {
			mark(t.worker, markGood)
		} else {
			mark(t.worker, markKnown)
		}
	}
}

// options returns the workers that could be asked about, the best first: those with
// room, and if all are wanted, those without.
func (p *Planner) options(s *step, now time.Time, all bool) []option {
	answer := now.Add(s.job.queue.turnaround)
	p.markAsked(s, now)
	counts := s.perWorker()
	workers := p.pool(s.job.queue.Service).workers
	p.looks += len(workers)
	out := topK[option]{most: askMost, before: better}
	for _, w := range workers {
		as := 0
		if w.mark == p.marks {
			as = w.markedAs
		}
		if as == markDenied || as == markGood || !p.suits(s, w, now) {
			continue
		}
		o := option{w: w, known: as == markKnown, fit: s.fitInto(p.openRoom(s, w, now), roomFor(s.spec.MostPerVM, counts[w]))}
		if o.known && p.Policy.Reserve && len(s.slots) > 0 {
			o.fit = max(o.fit, s.slotsBy(w, answer))
		}
		if o.fit == 0 && !all {
			continue
		}
		o.score = p.score(s, w, w.free())
		if o.known {
			o.score++
		}
		out.add(o)
	}
	return out.list
}

// better reports whether a worker is better asked about than another.
func better(a, b option) bool {
	switch {
	case (a.fit > 0) != (b.fit > 0):
		return a.fit > 0
	case a.score != b.score:
		return a.score > b.score
	}
	return a.w.order < b.w.order
}

// outlasts reports whether a place kept for the step at a worker comes free only after
// its ticket has run out.
func (s *step) outlasts(w *worker, t permit) bool {
	return slices.ContainsFunc(s.slots, func(x slot) bool { return x.w == w && !t.good(x.at) })
}

// slotsBy counts the places kept for the step at a worker by some time.
func (s *step) slotsBy(w *worker, by time.Time) int {
	n := 0
	for _, x := range s.slots {
		if x.w == w && !x.at.After(by) {
			n++
		}
	}
	return n
}

// Advice takes the answer to an Ask.
func (p *Planner) Advice(a Ask, tickets []winch.Ticket, valid time.Duration, sent time.Time) {
	s := p.asked(a)
	if s == nil {
		return
	}
	if s.job.queue != nil && valid == 0 && s.job.queue.Advice != nil {
		valid = s.job.queue.Advice.Valid
	}
	p.markAsked(s, p.now())
	const named = -1
	fresh, allowed := 0, 0
	var asked []*worker
	for _, id := range a.Workers {
		w := p.workers[id]
		if w == nil {
			continue
		}
		if w.mark != p.marks || w.markedAs == markDenied {
			w.mark, w.markedAs = p.marks, named
			asked = append(asked, w)
		}
	}
	fresh = len(asked)
	for _, t := range tickets {
		w := p.workers[t.Worker]
		if w == nil {
			continue
		}
		if w.mark == p.marks && w.markedAs == named {
			allowed++
			w.markedAs = markKnown
		}
		s.known.allow(permit{w, t.Value, sent.Add(valid)})
	}
	for _, w := range asked {
		if w.markedAs == named && !s.known.isDenied(w) {
			s.known.denied = append(s.known.denied, w)
		}
	}
	if q := s.job.queue; q != nil {
		q.turnaround += time.Duration(turnStep * float64(p.now().Sub(a.Asked)-q.turnaround))
	}
	if fresh > 0 && s.job.queue != nil {
		q := s.job.queue
		q.share += shareStep * (float64(allowed)/float64(fresh) - q.share)
	}
}

// AdviceFailed notes that a question got no answer.
func (p *Planner) AdviceFailed(a Ask) {
	if s := p.asked(a); s != nil {
		s.known.retry = p.now().Add(askAgain)
	}
}

func (p *Planner) asked(a Ask) *step {
	j := p.jobs[a.Phase.Job]
	if j == nil {
		return nil
	}
	s := j.step(a.Phase.K, a.Phase.Phase)
	if s != nil {
		s.known.asking = false
	}
	return s
}
