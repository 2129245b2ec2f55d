package fleet

import (
	"cmp"
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
)

// advice is what is known of the workers that may run a step. Who may does not
// change; a ticket ages, and ends with the worker's boot.
type advice struct {
	allowed map[string]permit
	denied  map[string]bool
	asking  bool
	asked   time.Time // asked is when the service was last asked.
	retry   time.Time
}

type permit struct {
	value string
	until time.Time
}

func (t permit) good(now time.Time) bool {
	return now.Add(ticketMargin).Before(t.until)
}

func (a *advice) ticket(id string) string {
	return a.allowed[id].value
}

func (a *advice) expire(id string) {
	if t, ok := a.allowed[id]; ok {
		t.until = time.Time{}
		a.allowed[id] = t
	}
}

// advise asks which workers may run a step, if it has tasks that wait, or some more
// that are to move, and no worker with room and a good ticket for them.
func (p *Planner) advise(s *step, now time.Time, r rank, moving int) {
	cost := s.job.queue.Advice
	wanted := s.waiting + moving
	if cost == nil || wanted == 0 || s.known.asking || now.Before(s.known.retry) {
		return
	}
	// What moves takes no more of its team's limit than it has.
	if moving == 0 && !s.job.team.allows(s.spec.Need) || !p.spare(s) || p.covered(s, now) >= wanted {
		return
	}
	ids := p.toAsk(s, now, wanted)
	if len(ids) == 0 {
		return
	}
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
	for _, w := range p.candidates(s, now) {
		n += p.fit(s, w)
	}
	return n
}

// fit returns how many tasks of a step fit into a worker's free room.
func (p *Planner) fit(s *step, w *worker) int {
	return p.fitInto(s, w, p.openRoom(s, w))
}

// fitInto returns how many tasks of a step fit into some room of a worker.
func (p *Planner) fitInto(s *step, w *worker, left winch.Room) int {
	charge := s.spec.Charge()
	n := len(s.tasks)
	if charge.Milli > 0 {
		n = min(n, int(left.Milli/charge.Milli))
	}
	if charge.Memory > 0 {
		n = min(n, int(left.Memory/charge.Memory))
	}
	if charge.Accelerators > 0 {
		n = min(n, left.Accelerators/charge.Accelerators)
	}
	if s.spec.MostPerVM > 0 {
		n = min(n, s.spec.MostPerVM-p.onWorker(s, w))
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

// toAsk chooses the workers to ask about: those with room, or with room by the time
// of the answer where the step is known to be allowed, as many as probably suffice.
// A first question names as many as cost no more than the question itself.
func (p *Planner) toAsk(s *step, now time.Time, wanted int) []string {
	full := !s.spec.Charge().Fits(p.pool(s.job.queue.Service).most)
	if full && len(s.slots) == 0 && !(p.Policy.AskAll && s.known.asked.IsZero()) {
		return nil
	}
	options := p.options(s, now)
	var out []string
	room := 0.0
	need := askSpare * float64(wanted-p.covered(s, now))
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
	if p.Policy.AskAll && s.known.asked.IsZero() {
		for _, o := range options[len(out):] {
			if len(out) >= askMost || time.Duration(len(out))*s.job.queue.Advice.Worker >= s.job.queue.Advice.Call {
				break
			}
			out = append(out, o.w.vm.ID)
		}
	}
	return out
}

// options returns the workers that could be asked about, the best first: those with
// room before those without.
func (p *Planner) options(s *step, now time.Time) []option {
	var out []option
	answer := now.Add(s.job.queue.turnaround)
	for _, w := range p.pool(s.job.queue.Service).workers {
		id := w.vm.ID
		if s.known.denied[id] || !p.suits(s, w, now) {
			continue
		}
		t, known := s.known.allowed[id]
		if known && t.good(now) && !s.outlasts(w, t) {
			continue
		}
		o := option{w: w, fit: p.fit(s, w), known: known, score: p.score(s, w, w.free())}
		if known {
			o.score++
		}
		if known && p.Policy.Reserve {
			o.fit = max(o.fit, s.slotsBy(w, answer))
		}
		out = append(out, o)
	}
	slices.SortFunc(out, func(a, b option) int {
		return cmp.Or(compareBool(b.fit > 0, a.fit > 0), cmp.Compare(b.score, a.score), cmp.Compare(a.w.vm.ID, b.w.vm.ID))
	})
	return out
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
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
	if s.known.allowed == nil {
		s.known.allowed = make(map[string]permit)
		s.known.denied = make(map[string]bool)
	}
	fresh, allowed := 0, 0
	for _, id := range a.Workers {
		if _, known := s.known.allowed[id]; !known {
			fresh++
			s.known.denied[id] = true
		}
	}
	if s.job.queue != nil && valid == 0 && s.job.queue.Advice != nil {
		valid = s.job.queue.Advice.Valid
	}
	for _, t := range tickets {
		if s.known.denied[t.Worker] {
			allowed++
			delete(s.known.denied, t.Worker)
		}
		s.known.allowed[t.Worker] = permit{t.Value, sent.Add(valid)}
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
