package region

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"plantainwinch/proto"
	"plantainwinch/winch"
)

// Guards against a roster that does not name a keeper whose leases may still run: the keepers are chosen
// again, for another worker, while the roster with the worker's next keeper is being written.
func TestRosterNamesTheKeeperThatRenewsUntilTheNextOneIsUsed(t *testing.T) {
	is := is.New(t)
	n := new(Node)
	n.settings.config.Store(simConfig(1))
	l := newLeadership(n, 3, 1, 1, time.Now())
	vm := winch.WorkerVM{ID: "w"}
	choose := func(keeper string) []string {
		l.desired["w"] = l.rosterRecord(vm, keeper, l.generationOf("w", keeper))
		var earlier []string
		for _, k := range l.desired["w"].Earlier {
			earlier = append(earlier, k.Keeper)
		}
		return earlier
	}
	use := func(keeper string, token uint64) {
		l.recordAssignment("w", keeper, proto.Assignment{VM: vm, Token: token, Generation: l.desired["w"].Generation})
	}
	is.Equal(choose("k1"), nil)
	use("k1", 1)
	l.expiries.markListed("w") // From here on k1 renews the lease.
	is.Equal(choose("k2"), []string{"k1"})
	is.Equal(choose("k2"), []string{"k1"})
	is.Equal(choose("k3"), []string{"k1", "k2"})

	l.expiries.endAssignment("w", "k1", 1, time.Second)
	use("k3", 2)
	is.Equal(choose("k3"), []string{"k1", "k2"})
	l.expiries.markListed("w") // All earlier keepers are fenced off.
	is.Equal(choose("k3"), nil)
}
