// Package lanes distributes requests to the advice service over the entries of a region. The
// service handles one request at a time for each entry, so each entry is a lane, and a request
// queued behind a slow one waits until that completes.
package lanes

import (
	"math"
	"slices"
	"time"
)

const (
	// urgentReserveFactor is the number of lanes that slow requests leave to urgent ones, as
	// a multiple of the urgent ones' recent mean use. A slow request takes half a second and
	// more, an urgent one some 30 ms; without a reserve, urgent requests spend most of their
	// time waiting behind slow ones. At most the fraction maxUrgentReserve of the lanes is
	// reserved.
	urgentSpare = 2.0
	urgentMost  = 0.5
	// urgentHalfLife is the half-life of the moving average of their use.
	urgentHalf = 3 * time.Second
	// failureBackoff is how long a lane is not used after a failed request.
	restAfterFailure = time.Second
)

// Request is one request that waits for a lane. Requests of a lower Rank go first.
type Question[T any] struct {
	Body   T
	Urgent bool
	Rank   float64
}

// Lanes holds the lanes and the requests that wait for them. It is not safe for concurrent use.
type Lanes[T any] struct {
	lanes map[string]*lane
	// urgentQueue and slowQueue hold the waiting requests.
	urgentOnes, slowOnes queue[T]
	slow                 int // busySlow counts the lanes that are busy with slow requests.
	urgent               int // busyUrgent counts those that are busy with urgent ones.
	// urgentUse is the moving average of busyUrgent, updated last at measuredAt.
	use float64
	at  time.Time
}

// queue holds requests sorted by rank, the lowest first, and among equal ranks the earliest.
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

// SetLanes sets the names of the lanes. The pending request of a removed lane still has to
// be ended with Done.
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

// Add queues a request.
func (l *Lanes[T]) Add(q Question[T]) {
	if q.Urgent {
		l.urgentOnes.add(q)
	} else {
		l.slowOnes.add(q)
	}
}

// Waiting returns the number of queued requests.
func (l *Lanes[T]) Waiting() int {
	return len(l.urgentOnes) + len(l.slowOnes)
}

// Available returns how many more urgent and how many more slow requests could be sent now,
// beyond the queued ones.
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

// Next returns a free lane and the request to send there, or false if none can be sent now.
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

// maxSlow returns how many lanes may be busy with slow requests.
func (l *Lanes[T]) mostSlow() int {
	n := len(l.lanes)
	if n <= 1 {
		return n
	}
	reserved := min(int(math.Ceil(urgentSpare*l.use)), int(urgentMost*float64(n)))
	return n - max(1, reserved)
}

// updateUrgentUse adds the use since the last call to the moving average.
func (l *Lanes[T]) measure(now time.Time) {
	if !l.at.IsZero() {
		weight := math.Exp2(-now.Sub(l.at).Seconds() / urgentHalf.Seconds())
		l.use += (1 - weight) * (float64(l.urgent) - l.use)
	}
	l.at = now
}

func (l *Lanes[T]) free(now time.Time) string {
	first := ""
	for name, x := range l.lanes {
		if !x.busy && now.After(x.rest) && (first == "" || name < first) {
			first = name
		}
	}
	return first
}

// Done frees a lane; ok reports whether its request was answered.
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
