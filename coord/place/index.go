// Package place decides which task runs on which worker of a failure domain. It is a
// state machine over plain data that does no I/O, reads no clock and takes no lock, so
// that a decision takes microseconds and runs are reproducible.
package place

import (
	"fmt"
	"slices"
	"time"

	"plantainwinch/winch"
)

// node is a worker with the tasks committed to it.
type node struct {
	vm    winch.VM
	free  winch.Resources
	tasks map[winch.TaskID]*placement
	// foreign holds tasks that the worker runs but that this planner did not adopt,
	// until they have been stopped.
	foreign map[winch.Attempt]winch.Task
	// reconciled is set once the worker has listed its tasks under the current epoch.
	reconciled bool
	// quarantinedUntil is the time until which the worker gets no work, after several
	// jobs failed on it.
	quarantinedUntil time.Time
	// bucket and position locate the node in the index.
	bucket, position int
	health           health
}

// placement is a task that is committed to a worker.
type placement struct {
	id      winch.TaskID
	job     *job
	node    *node
	started time.Time
	attempt int // attempt distinguishes this start of the task from others.
	// forecastEnd is when the task is expected to end.
	forecastEnd time.Time
	// confirmed is set once the worker has acknowledged the start.
	confirmed bool
	// uncertain is set if the response to the start was lost.
	uncertain bool
	// stopping is set if the task is being stopped: evicted, cancelled, or stopped with
	// its gang or job.
	stopping bool
}

// index finds workers by free processors. Workers with accelerators are indexed
// separately, so that tasks that need none use them only if nothing else is free.
type index struct {
	plain, accel []bucket
}

// bucket holds the nodes with the same number of free processors.
type bucket []*node

// bucketsOf returns the buckets for the node's kind of worker.
func (x *index) bucketsOf(n *node) *[]bucket {
	if n.vm.Size.Accelerators > 0 {
		return &x.accel
	}
	return &x.plain
}

func (x *index) add(n *node) {
	buckets := x.bucketsOf(n)
	n.bucket = n.free.Processors
	for len(*buckets) <= n.bucket {
		*buckets = append(*buckets, nil)
	}
	n.position = len((*buckets)[n.bucket])
	(*buckets)[n.bucket] = append((*buckets)[n.bucket], n)
}

func (x *index) remove(n *node) {
	b := &(*x.bucketsOf(n))[n.bucket]
	last := (*b)[len(*b)-1]
	(*b)[n.position] = last
	last.position = n.position
	*b = (*b)[:len(*b)-1]
}

// charge commits resources of the node, or frees them if need is negative. It panics
// rather than overcommit a worker, which would break the scheduler's most important
// guarantee to its users.
func (x *index) charge(n *node, need winch.Resources) {
	x.remove(n)
	n.free = n.free.Sub(need)
	zero := winch.Resources{}
	if !zero.Fits(n.free) || !n.free.Fits(n.vm.Size) {
		panic(fmt.Sprintf("place: worker %s overcommitted or over-freed: size %+v, free would be %+v", n.vm.ID, n.vm.Size, n.free))
	}
	x.add(n)
}

// each calls f with the workers that have free capacity for need until f returns
// false. Workers with the fewest free processors come first, or last if mostFree is
// set.
func (x *index) each(need winch.Resources, mostFree bool, f func(*node) bool) {
	kinds := [][]bucket{x.plain, x.accel}
	if need.Accelerators > 0 {
		kinds = kinds[1:]
	}
	for _, buckets := range kinds {
		for i := need.Processors; i < len(buckets); i++ {
			pos := i
			if mostFree {
				pos = len(buckets) - 1 - (i - need.Processors)
			}
			for _, n := range buckets[pos] {
				if need.Fits(n.free) && !f(n) {
					return
				}
			}
		}
	}
}

// sortedNodes returns the nodes ordered by ID, for decisions that must not depend on
// map order.
func (p *Planner) sortedNodes() []*node {
	if p.order == nil {
		p.order = sortNodes(p.nodes)
	}
	return p.order
}

func sortNodes(nodes map[string]*node) []*node {
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
