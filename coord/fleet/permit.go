package fleet

import (
	"cmp"
	"slices"
	"time"
)

// advice is what is known of the workers that may run a step. Who may does not
// change; a ticket ages, and ends with the worker's boot.
type advice struct {
	allowed []permit // allowed is in the order of the workers' IDs.
	denied  []*worker
	asking  bool
	asked   time.Time // asked is when the service was last asked.
	retry   time.Time
}

// permit says that a step may run at a worker, with the ticket for a start there, which is
// good until a time.
type permit struct {
	worker *worker
	value  string
	until  time.Time
}

func (t permit) good(now time.Time) bool {
	return now.Add(ticketMargin).Before(t.until)
}

// permit returns the permit for a worker; the zero one if there is none.
func (a *advice) permit(w *worker) permit {
	for i := range a.allowed {
		if a.allowed[i].worker == w {
			return a.allowed[i]
		}
	}
	return permit{}
}

func (a *advice) isDenied(w *worker) bool {
	return slices.Contains(a.denied, w)
}

func (a *advice) expire(w *worker) {
	for i := range a.allowed {
		if a.allowed[i].worker == w {
			a.allowed[i].until = time.Time{}
		}
	}
}

// allow takes a permit.
func (a *advice) allow(t permit) {
	for i := range a.allowed {
		if a.allowed[i].worker == t.worker {
			a.allowed[i] = t
			return
		}
	}
	i, _ := slices.BinarySearchFunc(a.allowed, t.worker.vm.ID, func(x permit, id string) int { return cmp.Compare(x.worker.vm.ID, id) })
	a.allowed = slices.Insert(a.allowed, i, t)
}
