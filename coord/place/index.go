// Package place decides which task runs on which worker. It is a state machine
// over plain data: it does no input or output, reads no clock and takes no
// lock, so that a decision costs microseconds and every run can be repeated.
package place

import (
	"fmt"
	"slices"
	"time"

	"plantainwinch/winch"
)

// node is a worker with what is committed on it.
type node struct {
	vm    winch.VM
	free  winch.Resources
	tasks map[winch.TaskID]*placed
	// foreign holds tasks that the worker runs and that are not this planner's,
	// until they have been stopped.
	foreign map[winch.Attempt]winch.Task
	// known says that the worker has answered under the current epoch.
	known bool
	// aside is until when it gets no work after failing everything.
	aside time.Time
	// bucket and slot say where the index holds the node.
	bucket, slot int
	health       health
}

// placed is a task that is committed to a worker.
type placed struct {
	id      winch.TaskID
	job     *job
	node    *node
	started time.Time
	attempt int // attempt tells this start of the task from others.
	// ends is when it is forecast to end.
	ends time.Time
	// confirmed says that the worker acknowledged the start.
	confirmed bool
	// doubt says that the reply to its start was lost.
	doubt bool
	// stopping says that it was told to stop for another task's sake or by its caller.
	stopping bool
	// unpaid says that no unit of the team's limit was taken for it.
	unpaid bool
}

// index finds workers by free processors. Workers with accelerators are kept
// apart, so that work that needs none takes them only if nothing else is free.
type index struct {
	plain, accel []bucket
}

type bucket []*node

func (x *index) side(n *node) *[]bucket {
	if n.vm.Size.Accelerators > 0 {
		return &x.accel
	}
	return &x.plain
}

func (x *index) add(n *node) {
	side := x.side(n)
	n.bucket = n.free.Processors
	for len(*side) <= n.bucket {
		*side = append(*side, nil)
	}
	n.slot = len((*side)[n.bucket])
	(*side)[n.bucket] = append((*side)[n.bucket], n)
}

func (x *index) remove(n *node) {
	b := &(*x.side(n))[n.bucket]
	last := (*b)[len(*b)-1]
	(*b)[n.slot] = last
	last.slot = n.slot
	*b = (*b)[:len(*b)-1]
}

// charge commits resources of the node, or frees them if need is negative. To
// commit more than there is would break the first promise to the users, so the
// process stops instead.
func (x *index) charge(n *node, need winch.Resources) {
	x.remove(n)
	n.free = n.free.Sub(need)
	zero := winch.Resources{}
	if !zero.Fits(n.free) || !n.free.Fits(n.vm.Size) {
		panic(fmt.Sprintf("place: worker %s of size %+v would have %+v free", n.vm.ID, n.vm.Size, n.free))
	}
	x.add(n)
}

// each calls f with the workers that may have room for need, those that would
// be left with the fewest free processors first (or last, if widest is set),
// until f returns false.
func (x *index) each(need winch.Resources, widest bool, f func(*node) bool) {
	sides := [][]bucket{x.plain, x.accel}
	if need.Accelerators > 0 {
		sides = sides[1:]
	}
	for _, side := range sides {
		for i := need.Processors; i < len(side); i++ {
			at := i
			if widest {
				at = len(side) - 1 - (i - need.Processors)
			}
			for _, n := range side[at] {
				if need.Fits(n.free) && !f(n) {
					return
				}
			}
		}
	}
}

// sorted returns the nodes in the order of their ids, for decisions that must
// not depend on the order of a map.
func (p *Planner) sorted() []*node {
	if p.order == nil {
		p.order = sorted(p.nodes)
	}
	return p.order
}

func sorted(nodes map[string]*node) []*node {
	out := make([]*node, 0, len(nodes))
	for _, n := range nodes {
		out = append(out, n)
	}
	slices.SortFunc(out, func(a, b *node) int {
		if a.vm.ID < b.vm.ID {
			return -1
		}
		return 1
	})
	return out
}
