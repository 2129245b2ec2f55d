package region

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// domainEntries returns live entries of one failure domain.
func domainEntries(count int) map[string]member {
	live := make(map[string]member)
	for i := range count {
		name := fmt.Sprintf("e%02d", i)
		live[name] = member{Name: name, Domain: "d", Share: 200}
	}
	return live
}

// assignKeepers assigns workers to keepers and returns how many workers each keeper has.
func assignKeepers(p *keeperPools, workers int, keepers map[int]string) map[string]int {
	for i := range workers {
		p.add(keepers[i])
	}
	p.limit(map[string]int{"d": workers})
	count := make(map[string]int)
	for i := range workers {
		keepers[i] = p.choose("d", keepers[i])
		count[keepers[i]]++
	}
	return count
}

// Guards against too many keepers. Without a limit every entry of a large failure domain keeps a few
// workers, and the planner has a session with each entry.
func TestNumberOfKeepersFollowsNumberOfWorkers(t *testing.T) {
	is := is.New(t)
	is.Equal(len(assignKeepers(newKeeperPools(domainEntries(30)), 220, make(map[int]string))), 7)
	is.Equal(len(assignKeepers(newKeeperPools(domainEntries(30)), 10, make(map[int]string))), minKeepers)
	is.Equal(len(assignKeepers(newKeeperPools(domainEntries(1)), 220, make(map[int]string))), 1)
}

// Guards against needless changes of keepers while the present ones work: a worker that gets another
// keeper is given no starts meanwhile.
func TestKeepersDoNotChangeWhenAnEntryJoins(t *testing.T) {
	is := is.New(t)
	live, keepers := domainEntries(30), make(map[int]string)
	before := assignKeepers(newKeeperPools(live), 220, keepers)
	live["a-new"] = member{Name: "a-new", Domain: "d", Share: 800}
	after := assignKeepers(newKeeperPools(live), 220, keepers)
	is.Equal(after, before)
}

// Guards against choosing busy entries, such as the planner's, as keepers: the workers would compete
// with their other tasks. Only a domain with no other entries uses them.
func TestBusyEntriesAreKeepersOnlyWhereOthersAreFew(t *testing.T) {
	is := is.New(t)
	count := assignKeepers(newKeeperPools(domainEntries(4), "e00", "e01"), 40, make(map[int]string))
	is.Equal(count["e00"]+count["e01"], 0)
	is.Equal(len(assignKeepers(newKeeperPools(domainEntries(2), "e00", "e01"), 40, make(map[int]string))), 2)
}
