package region

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"plantainwinch/winch"
)

// largeCell returns an entry of a cell with the records of many entries of equal processor shares, which
// were written by earlier boots of all of them.
func largeCell(entries, own int) *Node {
	n := &Node{Name: "new boot", Host: fmt.Sprintf("e%03d", own), Share: 400}
	n.cell.full = true
	for i := range entries {
		host := fmt.Sprintf("e%03d", i)
		n.cell.apply(winch.Event{Value: winch.Value{
			Key: prefixNode + host, Version: uint64(i + 1), Data: encode(member{Name: host + "/1", Node: host, Share: 400}),
		}})
	}
	return n
}

// Guards against a region of hundreds of entries without a planner for many seconds: all of them are killed,
// and the only ones that are back rank last. Their wait must not grow with the number of entries.
func TestElectionDelayIsBoundedInALargeRegion(t *testing.T) {
	is := is.NewRelaxed(t)
	for own := range 300 {
		wait := largeCell(300, own).electionDelay()
		is.True(wait <= maxRanks*rankDelay+spreadDelay)
		is.True(own < maxRanks || wait >= maxRanks*rankDelay) // The first entries go first.
	}
}

// Guards against a storm of calls on the store: of hundreds of entries that find the office free at once,
// only a few may try within the time that it takes to see that it was taken.
func TestFewEntriesTryTheOfficeAtOnce(t *testing.T) {
	is := is.NewRelaxed(t)
	const visible = 10 * time.Millisecond
	waits := make(map[time.Duration]int)
	for own := range 300 {
		waits[largeCell(300, own).electionDelay()/visible]++
	}
	for _, count := range waits {
		is.True(count < 30)
	}
}

// Guards against an entry that waits behind all others because its own new record has not been seen yet:
// its rank is that of its VM.
func TestRankOfARestartedEntryIsThatOfItsVM(t *testing.T) {
	is := is.New(t)
	is.Equal(largeCell(30, 0).rank(), 1)
	is.Equal(largeCell(30, 0).electionDelay(), rankDelay)
}

// Guards against the same storm by entries that do not know the others: they must spread by what the last planner
// recorded, and those on weak VMs must leave the office to strong ones.
func TestEntriesThatKnowNoOthersSpreadTheirTries(t *testing.T) {
	is := is.NewRelaxed(t)
	const visible = 10 * time.Millisecond
	waits := make(map[time.Duration]int)
	entry := func(share int, last office) *Node {
		n := &Node{Share: share}
		n.cell.apply(winch.Event{Value: winch.Value{Key: keyTerm, Version: 1, Data: encode(last)}})
		return n
	}
	for range 300 {
		wait := entry(800, office{Term: 4, Largest: 800, Strong: 300}).electionDelay()
		waits[wait/visible]++
		is.True(wait >= rankDelay && wait <= maxRanks*rankDelay+spreadDelay+rankDelay)
		is.True(entry(800, office{Term: 4, Largest: 800, Strong: 4}).electionDelay() <= 5*rankDelay)
		is.True(entry(192, office{Term: 4, Largest: 800, Strong: 4}).electionDelay() >= weakDelay)
		is.True(entry(192, office{Term: 4}).electionDelay() < weakDelay) // A planner of the build before records no shares.
	}
	for _, count := range waits {
		is.True(count < 30)
	}
}
