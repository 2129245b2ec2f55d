package region

import (
	"fmt"
	"time"
)

// playPartialFault plays a fault that affects only some of the region's connections.
func (r *randomScenario) playPartialFault() {
	w := r.world
	length := r.randomDuration(300*time.Millisecond, 9*time.Second)
	switch r.rand.IntN(7) {
	case 0, 1:
		r.makeUnresponsive(length)
	case 6:
		r.pauseEntry(length)
	case 2:
		r.blockEntries(length)
	case 3:
		r.blockWorker(length)
	case 4:
		domain := fmt.Sprintf("d%d", r.rand.IntN(3))
		w.log.note("failure domain %s is partitioned for %v", domain, length)
		w.disturbFor(length, func(on bool) { w.partitioned[domain] = on })
	case 5:
		lossy := r.oneIn(2)
		w.log.note("the store is faulty for %v, losing responses instead of being down: %v", length, lossy)
		w.disturbFor(length, func(on bool) {
			w.store.mu.Lock()
			defer w.store.mu.Unlock()
			if lossy {
				w.store.losesResponses = on
			} else {
				w.store.down = on
			}
		})
	}
}

// disturbFor plays a disturbance for a time.
func (w *world) disturbFor(length time.Duration, set func(on bool)) {
	w.injectFor(length, func(on bool) {
		set(on)
		w.downtimeChecks.addDisturbance(on)
		if on {
			w.crashes.addDisturbance(time.Now().Add(length))
		}
	})
}

// makeUnresponsive makes a worker stop responding for a time. Its runs go on until the lease expires.
func (r *randomScenario) makeUnresponsive(length time.Duration) {
	x := r.pickWorker()
	if x == nil {
		return
	}
	w := r.world
	w.log.note("worker %s is unresponsive for %v", x.vm.ID, length)
	w.disturbFor(length, func(on bool) {
		x.mu.Lock()
		defer x.mu.Unlock()
		x.unresponsive = on || x.terminated
	})
}

// pauseEntry pauses an entry as seen from outside: it reaches no other process, and what is sent to it is handled
// when it is resumed, unless it has been killed. Its own clocks go on, as in a suspended process.
func (r *randomScenario) pauseEntry(length time.Duration) {
	w := r.world
	n := w.nodeAt(r.rand.IntN(len(w.nodes)))
	if p := w.planner(); p != nil && r.oneIn(3) {
		n = p
	}
	w.mu.Lock()
	node, alreadyPaused := n.node, w.paused[n.host] != nil
	w.mu.Unlock()
	if node == nil || alreadyPaused {
		return
	}
	w.log.note("entry %s is paused for %v", node.Name, length)
	var held *pausedEntry
	w.disturbFor(length, func(on bool) {
		if on {
			w.paused[n.host] = &pausedEntry{}
			return
		}
		held = w.paused[n.host]
		delete(w.paused, n.host)
	})
	w.group.Go(func() {
		time.Sleep(length + time.Microsecond)
		w.mu.Lock()
		running := n.node == node
		w.mu.Unlock()
		if !running || held == nil {
			return
		}
		for _, handle := range held.requests {
			w.group.Go(handle)
		}
		for _, handle := range held.notifications {
			handle()
		}
	})
}

// blockEntries drops all messages that one entry sends to another. After some time both find that the
// link is broken.
func (r *randomScenario) blockEntries(length time.Duration) {
	w := r.world
	a, b := w.nodeAt(r.rand.IntN(len(w.nodes))), w.nodeAt(r.rand.IntN(len(w.nodes)))
	detected := r.randomDuration(300*time.Millisecond, 1500*time.Millisecond)
	if a == b {
		return
	}
	path := simPath{a.host, b.host}
	w.log.note("messages to %s from %s are lost for %v; the link breaks after %v", b.host, a.host, length, detected)
	w.disturbFor(length, w.blockPath(w.blockedPaths, path))
	w.group.Go(func() {
		time.Sleep(min(length, detected))
		w.changeLink(path, 1)
		time.Sleep(max(0, length-detected) + 200*time.Millisecond)
		w.changeLink(path, -1)
	})
}

// blockPath returns a function that blocks a path or unblocks it.
func (w *world) blockPath(paths map[simPath]int, path simPath) func(on bool) {
	return func(on bool) {
		if on {
			paths[path]++
		} else {
			paths[path]--
		}
	}
}

// changeLink adds delta to the number of faults that break the link between two entries, and notifies
// both entries.
func (w *world) changeLink(path simPath, delta int) {
	w.mu.Lock()
	w.brokenLinks[path] += delta
	var nodes []*Node
	for _, host := range []string{path.from, path.to} {
		if n := w.nodes[host].node; n != nil {
			nodes = append(nodes, n)
		}
	}
	w.mu.Unlock()
	for _, n := range nodes {
		n.LinkChanged()
	}
}

// blockWorker blocks the path between an entry and a worker, in one direction or both.
func (r *randomScenario) blockWorker(length time.Duration) {
	w := r.world
	n, x, directions := w.nodeAt(r.rand.IntN(len(w.nodes))), r.pickWorker(), 1+r.rand.IntN(3)
	if x == nil {
		return
	}
	w.log.note("path between entry %s and worker %s is blocked, directions %d (1: requests, 2: responses, 3: both), for %v", n.host, x.vm.ID, directions, length)
	requests, responses := w.blockPath(w.blockedPaths, simPath{n.host, x.vm.Address}), w.blockPath(w.blockedPaths, simPath{x.vm.Address, n.host})
	w.disturbFor(length, func(on bool) {
		if directions&1 != 0 {
			requests(on)
		}
		if directions&2 != 0 {
			responses(on)
		}
	})
}
