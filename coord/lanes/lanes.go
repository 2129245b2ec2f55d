// Package lanes deals questions to the advice service over the entries of a
// region. The service answers one question at a time for each entry, so an
// entry is a lane; a question behind a slow one waits for all of it.
package lanes

import (
	"math"
	"slices"
	"time"
)

const (
	// urgentSpare is how many times the lanes that urgent questions have lately taken
	// are left to them by slow ones. A slow one takes half a second and more, an urgent
	// one some 30 ms; with no lane kept free, urgent ones wait behind slow ones for most
	// of their time. At most urgentMost of the lanes are left.
	urgentSpare = 2.0
	urgentMost  = 0.5
	// urgentHalf is how long it takes until half of a change of their use is noticed.
	urgentHalf = 3 * time.Second
	// restAfterFailure is how long a lane that gave no answer is left alone.
	restAfterFailure = time.Second
)

// Question is one question that waits for a lane.
type Question[T any] struct {
	Body   T
	Urgent bool
	Rank   float64
}

// Lanes holds the lanes and what waits for them. It is owned by one goroutine.
type Lanes[T any] struct {
	lanes map[string]*lane
	// urgentOnes and slowOnes hold what waits, the lowest rank first.
	urgentOnes, slowOnes queue[T]
	slow                 int // slow counts lanes that are busy with questions that are not urgent.
	urgent               int // urgent counts those that are busy with urgent ones.
	// use is the mean of urgent up to at.
	use float64
	at  time.Time
}

// queue holds questions, the lowest rank first, and of equal ranks the earliest.
type queue[T any] []Question[T]

func (q *queue[T]) add(x Question[T]) {
	i, _ := slices.BinarySearchFunc(*q, x.Rank, func(a Question[T], rank float64) int {
		if a.Rank <= rank {
			return -1
		}
		return 1
	})
	*q = slices.Insert(*q, i, x)
}

func (q *queue[T]) take() Question[T] {
	x := (*q)[0]
	*q = slices.Delete(*q, 0, 1)
	return x
}

type lane struct {
	busy   bool
	urgent bool
	rest   time.Time
}

// SetLanes names the lanes there are. What a lane that is gone was asked still
// has to be ended with Done.
func (l *Lanes[T]) SetLanes(names []string) {
	if l.lanes == nil {
		l.lanes = make(map[string]*lane)
	}
	for name, x := range l.lanes {
		if !slices.Contains(names, name) && !x.busy {
			delete(l.lanes, name)
		}
	}
	for _, name := range names {
		if l.lanes[name] == nil {
			l.lanes[name] = &lane{}
		}
	}
}

// Add queues a question.
func (l *Lanes[T]) Add(q Question[T]) {
	if q.Urgent {
		l.urgentOnes.add(q)
	} else {
		l.slowOnes.add(q)
	}
}

// Waiting returns the number of queued questions.
func (l *Lanes[T]) Waiting() int {
	return len(l.urgentOnes) + len(l.slowOnes)
}

// Openings returns how many urgent and how many other questions free lanes can take now
// beyond those that are queued.
func (l *Lanes[T]) Openings(now time.Time) (urgent, slow int) {
	l.measure(now)
	free := 0
	for _, x := range l.lanes {
		if !x.busy && now.After(x.rest) {
			free++
		}
	}
	free = max(0, free-l.Waiting())
	return free, max(0, min(free, l.mostSlow()-l.slow-len(l.slowOnes)))
}

// Next returns a free lane and the question to ask there, or false if nothing
// can be asked now.
func (l *Lanes[T]) Next(now time.Time) (string, Question[T], bool) {
	var none Question[T]
	if l.Waiting() == 0 {
		return "", none, false
	}
	l.measure(now)
	urgent := len(l.urgentOnes) > 0
	if !urgent && l.slow >= l.mostSlow() {
		return "", none, false
	}
	name := l.free(now)
	if name == "" {
		return "", none, false
	}
	x := l.lanes[name]
	x.busy, x.urgent = true, urgent
	if urgent {
		l.urgent++
		return name, l.urgentOnes.take(), true
	}
	l.slow++
	return name, l.slowOnes.take(), true
}

// mostSlow is how many lanes may be busy with slow questions.
func (l *Lanes[T]) mostSlow() int {
	n := len(l.lanes)
	if n <= 1 {
		return n
	}
	kept := min(int(math.Ceil(urgentSpare*l.use)), int(urgentMost*float64(n)))
	return n - max(1, kept)
}

// measure takes what urgent questions have used since the last call into the mean.
func (l *Lanes[T]) measure(now time.Time) {
	if !l.at.IsZero() {
		kept := math.Exp2(-now.Sub(l.at).Seconds() / urgentHalf.Seconds())
		l.use += (1 - kept) * (float64(l.urgent) - l.use)
	}
	l.at = now
}

func (l *Lanes[T]) free(now time.Time) string {
	best := ""
	for name, x := range l.lanes {
		if !x.busy && now.After(x.rest) && (best == "" || name < best) {
			best = name
		}
	}
	return best
}

// Done frees a lane; ok says that its question was answered.
func (l *Lanes[T]) Done(name string, ok bool, now time.Time) {
	x := l.lanes[name]
	if x == nil || !x.busy {
		return
	}
	l.measure(now)
	x.busy = false
	if x.urgent {
		l.urgent--
	} else {
		l.slow--
	}
	if !ok {
		x.rest = now.Add(restAfterFailure)
	}
}
