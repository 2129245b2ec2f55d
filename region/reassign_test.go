package region

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"plantainwinch/proto"
	"plantainwinch/winch"
)

// Guards against a planner that is busy for many seconds after all entries were killed: it looked at all entries
// for each worker of an earlier keeper. It must ask once for each keeper, however many workers there are.
func TestEndOfAKeeperIsLookedUpOnceForAllItsWorkers(t *testing.T) {
	is := is.NewRelaxed(t)
	for _, workers := range []int{20, 2000} {
		s := newLeaseExpiries()
		latest := time.Now().Add(time.Hour)
		for i := range workers {
			s.add(fmt.Sprintf("w%d", i), assignment{keeper: fmt.Sprintf("k%d", i%10), expiry: latest})
		}
		asked := make(map[string]int)
		shortened := s.endKeepers(func(a assignment) keeperEnding {
			asked[a.keeper]++
			return keeperEnding{at: time.Now(), ended: a.keeper != "k0"}
		})
		is.Equal(len(asked), 10)
		for _, count := range asked {
			is.Equal(count, 1) // count
		}
		is.Equal(len(shortened), workers*9/10)
	}
}

// Guards against assignments that are sent to a keeper although another one has them: the workers of each keeper
// are held beside the keeper of each worker.
func TestWorkersOfAKeeperFollowItsAssignments(t *testing.T) {
	is := is.New(t)
	n := new(Node)
	n.settings.config.Store(simConfig(1))
	l := newLeadership(n, 1, 1, 1, time.Now())
	assign := func(worker, keeper string, token uint64) {
		l.recordAssignment(worker, keeper, proto.Assignment{VM: winch.WorkerVM{ID: worker}, Token: token})
	}
	assign("w1", "k1", 1)
	assign("w2", "k1", 2)
	assign("w1", "k2", 3)
	is.Equal(l.workersOf, map[string]map[string]bool{"k1": {"w2": true}, "k2": {"w1": true}})
	is.Equal(l.byToken, map[uint64]string{2: "w2", 3: "w1"})
	l.removeAssignment("w2")
	l.removeAssignment("w2")
	is.Equal(l.workersOf, map[string]map[string]bool{"k2": {"w1": true}})
}

// Guards against a restarted entry at an address that another boot had before: both lookups of the cell's members
// must follow the records.
func TestMembersAreFoundByNameAndAddress(t *testing.T) {
	is := is.New(t)
	var c cellView
	put := func(node, name, address string, revision uint64) {
		c.apply(winch.Event{Value: winch.Value{Key: prefixNode + node, Version: revision, Data: encode(member{Name: name, Node: node, Address: address})}})
	}
	put("e1", "e1/1", "a1", 1)
	put("e2", "e2/1", "a2", 2)
	put("e1", "e1/2", "a1", 3)
	is.Equal(c.addressOf("e1/1"), "")
	is.Equal(c.addressOf("e1/2"), "a1")
	c.noteSuccessor("old", "a2", 1)
	_, ended := c.endedBy("old")
	is.True(ended)
	c.noteSuccessor("older", "a1", 3)
	_, ended = c.endedBy("older")
	is.True(!ended) // The boot at the address is not newer than the record that names the older one.
	c.apply(winch.Event{Value: winch.Value{Key: prefixNode + "e2", Version: 4}, Deleted: true})
	is.Equal(c.addressOf("e2/1"), "")
}
