package region

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"plantainwinch/proto"
	"plantainwinch/winch"
)

// regionOf starts a region of so many failure domains, with two entries in each, and lets it settle.
func regionOf(t *testing.T, domains int) *world {
	w := newWorld(t, 91, domains, domains)
	settle()
	time.Sleep(5 * time.Second)
	return w
}

// nodeReads returns a function that counts the reads of all entries' records since it was last called.
func (w *world) nodeReads() func() int {
	count := 0
	w.store.mu.Lock()
	w.store.onRead = func(_, prefix string) {
		if prefix == prefixCell || strings.HasPrefix(prefix, prefixNode) && len(prefix) == len(prefixNode) {
			count++
		}
	}
	w.store.mu.Unlock()
	return func() int {
		w.store.mu.Lock()
		defer w.store.mu.Unlock()
		last := count
		count = 0
		return last
	}
}

// Guards against links, calls to the store and reads of records that grow with the square of the entries: what
// an entry has of them must not depend on how many others there are.
func TestCostOfAnEntryDoesNotDependOnTheNumberOfEntries(t *testing.T) {
	t.Parallel()
	for _, domains := range []int{10, 30} {
		t.Run(fmt.Sprintf("%d entries", domains*entriesPerDomain), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.NewRelaxed(t)
				w := regionOf(t, domains)
				planner := w.planner().node
				for _, n := range w.nodes {
					if n.node != planner {
						is.True(len(n.node.PeerAddresses()) <= 2+insideNeighbours+outsideNeighbours)
						is.True(n.node.Peers.Linked(planner.Name))
					}
				}
				reads := w.nodeReads()
				w.setStore(func(s *simStore) { s.cellEvents = 0 })
				for i := range 3 {
					n := w.nodes[fmt.Sprintf("d%d-1", 3+i)]
					if n.node != planner {
						n.kill()
						time.Sleep(500 * time.Millisecond)
						n.start()
					}
				}
				time.Sleep(10 * time.Second)
				is.True(reads() <= 2)                        // The planner and its standby follow the records; the others do not read them.
				const restarts, changes, followers = 3, 3, 2 // Each restart changes a record at most thrice.
				w.setStore(func(s *simStore) { is.True(s.cellEvents <= restarts*changes*followers) })
				w.end()
			})
		})
	}
}

// Guards against entries without the configuration or a way to pass submissions on while the store turns them
// away: beside the planner and its standby, an entry has links to entries of its own and of other domains.
func TestEntriesHaveNeighboursInsideAndOutsideOfTheirDomain(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		w := regionOf(t, 10)
		for _, n := range w.nodes {
			inside, outside := 0, 0
			for _, name := range n.node.Peers.Names() {
				if strings.HasPrefix(name, n.domain+"-") {
					inside++
				} else {
					outside++
				}
			}
			is.True(inside >= 1 && outside >= 3) // A domain has two entries here.
		}
		w.end()
	})
}

// Guards against an entry that gets no work because its record is gone while its lease is still renewed: the
// planner tells it, since only the planner follows the records.
func TestEntryWithoutARecordRegistersAgain(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		w := regionOf(t, 5)
		var lost *simNode
		for _, n := range w.nodes {
			if n.node != w.planner().node && !n.node.needsMembers() {
				lost = n
			}
		}
		key := prefixNode + lost.host
		_, err := w.planner().node.Table.Commit(w.ctx, winch.Txn{Remove: []string{key}})
		is.NoErr(err)
		time.Sleep(nodeTTL + 3*time.Second)
		values, _, err := w.planner().node.Table.Read(w.ctx, key)
		is.NoErr(err)
		is.Equal(len(values), 1)
		w.end()
	})
}

// Guards against entries that do not learn that the office is free because their calls that wait for changes are
// stuck: without reports of the planner they must send the calls again.
func TestEntriesWithStuckWatchesTakeAFreeOffice(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		w := regionOf(t, 5)
		old := w.planner()
		w.setStore(func(s *simStore) { s.stuckBefore = time.Now() })
		for _, n := range w.nodes {
			if n == old || n.node.mirror.active() {
				n.kill()
			}
		}
		is.True(w.awaitOtherPlanner(old) < officeTTL+2*watchRenewInterval+weakDelay)
		time.Sleep(watchRenewInterval)
		planner := w.planner().node
		for _, n := range w.nodes {
			if n.node != nil {
				is.Equal(n.node.cell.holder(), planner.Name) // holder
			}
		}
		w.end()
	})
}

// Guards against a planner whose link is full after a change of the configuration that the store did not report: all
// entries learn of it from the planner, which must not send each of them a copy of the whole, nor anything twice.
func TestUnreportedConfigurationDoesNotFillThePlannersLink(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		w := regionOf(t, 10)
		w.setStore(func(s *simStore) {
			s.stuckBefore = time.Now()
			s.put("op/config", mustJSON(simConfig(2)), 0)
		})
		time.Sleep(configBound)
		for _, n := range w.nodes {
			is.Equal(n.node.Config().Version, uint64(2)) // version
		}
		w.mu.Lock()
		for _, copies := range w.configCopies {
			is.True(copies <= 1) // copies to one entry
		}
		is.True(w.configBytes <= 2*len(mustJSON(simConfig(2)))) // as much as two copies of the whole
		w.mu.Unlock()
		w.end()
	})
}

// Guards against requests for neighbours without end in failure domains that have too few entries: the planner of a
// region of many small domains would be asked twice a second by each entry.
func TestEntriesOfSmallDomainsRarelyAskForNeighbours(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		w := regionOf(t, 5)
		asked := 0
		w.setRequestLoss(func(_, _ string, kind winch.Kind) bool {
			if kind == proto.KindPeers {
				asked++
			}
			return false
		})
		time.Sleep(3 * vainRequestDelay)
		w.mu.Lock()
		is.True(asked <= 3*len(w.nodes))
		w.mu.Unlock()
		w.end()
	})
}
