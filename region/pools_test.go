package region

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// entriesOf returns live entries of one failure domain.
func entriesOf(count int) map[string]member {
	live := make(map[string]member)
	for i := range count {
		name := fmt.Sprintf("e%02d", i)
		live[name] = member{Name: name, Domain: "d", Share: 200}
	}
	return live
}

// keepersOf gives workers keepers and returns how many each has.
func keepersOf(p *pools, workers int, now map[int]string) map[string]int {
	for i := range workers {
		p.add(now[i])
	}
	p.limit(map[string]int{"d": workers})
	count := make(map[string]int)
	for i := range workers {
		now[i] = p.choose("d", now[i])
		count[now[i]]++
	}
	return count
}

// Every entry of a large failure domain keeps a few workers, and the planner has a session
// with each.
func TestKeepersAreAsManyAsTheirWorkersNeed(t *testing.T) {
	is := is.New(t)
	is.Equal(len(keepersOf(newPools(entriesOf(30)), 220, make(map[int]string))), 7)
	is.Equal(len(keepersOf(newPools(entriesOf(30)), 10, make(map[int]string))), leastKeepers)
	is.Equal(len(keepersOf(newPools(entriesOf(1)), 220, make(map[int]string))), 1)
}

// Keepers change although the ones there are do their duty, and their workers stand still.
func TestKeepersStayWhoTheyAre(t *testing.T) {
	is := is.New(t)
	live, now := entriesOf(30), make(map[int]string)
	before := keepersOf(newPools(live), 220, now)
	live["a-new"] = member{Name: "a-new", Domain: "d", Share: 800}
	after := keepersOf(newPools(live), 220, now)
	is.Equal(after, before)
}

// The planner's entry keeps workers beside its other work.
func TestBusyEntriesAreKeepersOnlyWhereOthersAreFew(t *testing.T) {
	is := is.New(t)
	count := keepersOf(newPools(entriesOf(4), "e00", "e01"), 40, make(map[int]string))
	is.Equal(count["e00"]+count["e01"], 0)
	is.Equal(len(keepersOf(newPools(entriesOf(2), "e00", "e01"), 40, make(map[int]string))), 2)
}
