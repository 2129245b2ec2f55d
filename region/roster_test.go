package region

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/matryer/is"

	"plantainwinch/winch"
)

// rosterOf returns workers of five failure domains, spread over keepers of 32 workers, each with so many earlier
// keepers.
func rosterOf(workers, earlier int) map[string]rosteredWorker {
	out := make(map[string]rosteredWorker, workers)
	for i := range workers {
		keeper := i / 32
		w := rosteredWorker{
			VM: winch.WorkerVM{
				ID: fmt.Sprintf("worker-%08d", i), Address: "10.123.123.123:12345",
				Domain: fmt.Sprintf("long-domain-name-%d", i%5), Born: 1_766_000_000_000 + int64(i),
			},
			Keeper: fmt.Sprintf("entry-long-domain-name-%d/ABCDEF", keeper), Address: "10.1.123.123:12345",
			Generation: 3*generationsPerTerm + uint64(i),
		}
		for e := range earlier {
			w.Earlier = append(w.Earlier, earlierKeeper{fmt.Sprintf("entry-long-domain-name-%d/XYZAB%d", keeper, e), "10.1.123.123:12345", uint64(i)})
		}
		out[w.VM.ID] = w
	}
	return out
}

// Guards against a planner that can start nothing because its roster is larger than a value of the store may be:
// with 20,000 workers and several earlier keepers of each, every part must stay well below a mebibyte.
func TestPartsOfALargeRosterFitIntoTheStore(t *testing.T) {
	is := is.NewRelaxed(t)
	const maxValue = 1 << 20
	workers := rosterOf(20_000, 3)
	s := newRosterStore()
	txn := s.txn(s.changes(workers, nil), slices.Sorted(maps.Keys(s.changes(workers, nil))))
	is.Equal(len(txn.Writes), 5)
	for _, x := range txn.Writes {
		is.True(len(x.Data) < maxValue*3/4)
	}
}

// Guards against a change of one keeper that writes all workers: only the part that differs may be written.
func TestChangeOfAKeeperWritesOnlyItsPart(t *testing.T) {
	is := is.New(t)
	recorded := rosterOf(100, 0)
	wanted := maps.Clone(recorded)
	w := wanted["worker-00000007"]
	w.Keeper, w.Generation = "other", w.Generation+1
	wanted[w.VM.ID] = w
	s := newRosterStore()
	parts := s.changes(wanted, recorded)
	is.Equal(slices.Collect(maps.Keys(parts)), []string{rosterKey(w.VM.Domain)})
	is.Equal(len(parts[rosterKey(w.VM.Domain)]), 20) // The part is complete.
	is.Equal(len(s.changes(recorded, recorded)), 0)
	delete(wanted, w.VM.ID)
	is.Equal(len(s.changes(wanted, recorded)[rosterKey(w.VM.Domain)]), 19)
}

// Guards against a part that differs from what the planner takes as recorded: after a write without a response it
// must be written again, also if the wanted workers are the recorded ones by then.
func TestPartWithUnknownContentIsWrittenAgain(t *testing.T) {
	is := is.New(t)
	recorded := rosterOf(100, 0)
	key := rosterKey("long-domain-name-2")
	s := newRosterStore()
	s.revisions[key], s.unconfirmed[key] = 7, true
	parts := s.changes(recorded, recorded)
	is.Equal(len(parts), 1)
	s.written(parts, []string{key}, 0, winch.ErrUncertain)
	is.Equal(len(s.changes(recorded, recorded)), 1)
	s.written(parts, []string{key}, 0, &winch.ConflictError{Current: map[string]winch.Value{key: {Version: 9}}})
	is.Equal(s.txn(parts, []string{key}).Expect, map[string]uint64{key: 9})
	s.written(parts, []string{key}, 12, nil)
	is.Equal(s.revisions[key], uint64(12))
	is.Equal(len(s.changes(recorded, recorded)), 0)
}

// Guards against workers that are forgotten or taken from an outdated record in a rolling replacement: the build
// before stores the whole roster in one value, which replaces older parts and is replaced by newer ones.
func TestRosterOfTheBuildBeforeIsReadAndReplaced(t *testing.T) {
	is := is.New(t)
	part := rosterKey("long-domain-name-1")
	values := []winch.Value{
		{Key: part, Version: 5, Data: encode(newRoster(rosterOf(10, 0)))},
		{Key: keyRoster, Version: 8, Data: encode(newRoster(rosterOf(100, 0)))},
	}
	s := newRosterStore()
	valid := s.note(values)
	is.Equal(len(valid), 1)
	is.Equal(valid[0].Key, keyRoster)
	parts := s.changes(rosterOf(100, 0), rosterOf(100, 0))
	is.Equal(len(parts), 6) // All parts, since the whole is removed.
	is.Equal(len(parts[rosterKey("long-domain-name-3")]), 20)
	is.Equal(s.txn(parts, []string{part, keyRoster}).Remove, []string{keyRoster})

	s = newRosterStore()
	is.Equal(len(s.note(values[:1])), 1)
}
