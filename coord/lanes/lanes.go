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
	urgentReserveFactor = 2.0
	maxUrgentReserve    = 0.5
	// urgentHalfLife is the half-life of the moving average of the lanes that urgent requests use.
	urgentHalfLife = 3 * time.Second
	// failureBackoff is how long a lane is not used after a failed request.
	failureBackoff = time.Second
)

// Request is one request that waits for a lane. Requests of a lower Rank go first.
type Request[T any] struct {
	Body   T
	Urgent bool
	Rank   float64
}

// Lanes holds the lanes and the requests that wait for them. It is not safe for concurrent use.
type Lanes[T any] struct {
	lanes map[string]*lane
	// urgentQueue and slowQueue hold the waiting requests.
	urgentQueue, slowQueue queue[T]
	busySlow               int // busySlow counts the lanes that are busy with slow requests.
	busyUrgent             int // busyUrgent counts the lanes that are busy with urgent requests.
	// urgentUse is the moving average of busyUrgent, updated last at measuredAt.
	urgentUse  float64
	measuredAt time.Time
}

// queue holds requests sorted by rank, the lowest first, and among equal ranks the earliest.
type queue[T any] []Request[T]

func (q *queue[T]) add(x Request[T]) {
	i, _ := slices.BinarySearchFunc(*q, x.Rank, func(a Request[T], rank float64) int {
		if a.Rank <= rank {
			return -1
		}
		return 1
	})
	*q = slices.Insert(*q, i, x)
}

func (q *queue[T]) pop() Request[T] {
	x := (*q)[0]
	*q = slices.Delete(*q, 0, 1)
	return x
}

// lane is one entry's lane.
type lane struct {
	busy         bool
	urgent       bool
	removed      bool // removed is set on a busy lane whose entry has left; Done deletes it.
	backoffUntil time.Time
}

// SetLanes sets the names of the lanes. A lane that is removed while a request is pending
// there still needs a Done for it.
func (l *Lanes[T]) SetLanes(names []string) {
	if l.lanes == nil {
		l.lanes = make(map[string]*lane)
	}
	for name, x := range l.lanes {
		x.removed = !slices.Contains(names, name)
		if x.removed && !x.busy {
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
func (l *Lanes[T]) Add(q Request[T]) {
	if q.Urgent {
		l.urgentQueue.add(q)
	} else {
		l.slowQueue.add(q)
	}
}

// Waiting returns the number of queued requests.
func (l *Lanes[T]) Waiting() int {
	return len(l.urgentQueue) + len(l.slowQueue)
}

// Available returns how many more urgent and how many more slow requests could be sent now,
// beyond the queued ones.
func (l *Lanes[T]) Available(now time.Time) (urgent, slow int) {
	l.updateUrgentUse(now)
	free := 0
	for _, x := range l.lanes {
		if !x.busy && now.After(x.backoffUntil) {
			free++
		}
	}
	free = max(0, free-l.Waiting())
	return free, max(0, min(free, l.maxSlow()-l.busySlow-len(l.slowQueue)))
}

// Next returns a free lane and the request to send there, or false if none can be sent now.
func (l *Lanes[T]) Next(now time.Time) (string, Request[T], bool) {
	var none Request[T]
	if l.Waiting() == 0 {
		return "", none, false
	}
	l.updateUrgentUse(now)
	urgent := len(l.urgentQueue) > 0
	if !urgent && l.busySlow >= l.maxSlow() {
		return "", none, false
	}
	name := l.freeLane(now)
	if name == "" {
		return "", none, false
	}
	x := l.lanes[name]
	x.busy, x.urgent = true, urgent
	if urgent {
		l.busyUrgent++
		return name, l.urgentQueue.pop(), true
	}
	l.busySlow++
	return name, l.slowQueue.pop(), true
}

// maxSlow returns how many lanes may be busy with slow requests.
func (l *Lanes[T]) maxSlow() int {
	n := len(l.lanes)
	if n <= 1 {
		return n
	}
	reserved := min(int(math.Ceil(urgentReserveFactor*l.urgentUse)), int(maxUrgentReserve*float64(n)))
	return n - max(1, reserved)
}

// updateUrgentUse adds the use since the last call to the moving average.
func (l *Lanes[T]) updateUrgentUse(now time.Time) {
	if !l.measuredAt.IsZero() {
		weight := math.Exp2(-now.Sub(l.measuredAt).Seconds() / urgentHalfLife.Seconds())
		l.urgentUse += (1 - weight) * (float64(l.busyUrgent) - l.urgentUse)
	}
	l.measuredAt = now
}

// freeLane returns the name of the first lane that can be used now, or "" if there is none.
func (l *Lanes[T]) freeLane(now time.Time) string {
	first := ""
	for name, x := range l.lanes {
		if !x.busy && now.After(x.backoffUntil) && (first == "" || name < first) {
			first = name
		}
	}
	return first
}

// Done frees a lane whose request has completed; ok reports whether the request succeeded.
func (l *Lanes[T]) Done(name string, ok bool, now time.Time) {
	x := l.lanes[name]
	if x == nil || !x.busy {
		return
	}
	l.updateUrgentUse(now)
	x.busy = false
	if x.urgent {
		l.busyUrgent--
	} else {
		l.busySlow--
	}
	if !ok {
		x.backoffUntil = now.Add(failureBackoff)
	}
	if x.removed {
		delete(l.lanes, name)
	}
}
