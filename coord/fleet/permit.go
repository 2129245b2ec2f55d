package fleet

import (
	"cmp"
	"slices"
	"time"
)

// advice holds what is known about which workers may run a phase. Permission does not change; a
// ticket expires, and becomes invalid with the next boot of the worker.
type advice struct {
	allowed   []permit // allowed is sorted by worker ID.
	denied    []*worker
	pending   bool
	requested time.Time // requested is when the last request was sent.
	retryAt   time.Time
}

// permit is the permission to run a phase at a worker, with a ticket for a start there.
type permit struct {
	worker  *worker
	ticket  string
	expires time.Time
}

func (t permit) valid(now time.Time) bool {
	return now.Add(ticketMargin).Before(t.expires)
}

// permitFor returns the element of allowed for a worker, or the zero value if there is none.
func (a *advice) permitFor(w *worker) permit {
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

func (a *advice) expireTicket(w *worker) {
	for i := range a.allowed {
		if a.allowed[i].worker == w {
			a.allowed[i].expires = time.Time{}
		}
	}
}

// addPermit adds a permit or replaces the worker's previous one.
func (a *advice) addPermit(t permit) {
	for i := range a.allowed {
		if a.allowed[i].worker == t.worker {
			a.allowed[i] = t
			return
		}
	}
	i, _ := slices.BinarySearchFunc(a.allowed, t.worker.vm.ID, func(x permit, id string) int { return cmp.Compare(x.worker.vm.ID, id) })
	a.allowed = slices.Insert(a.allowed, i, t)
}
