package region

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"plantainwinch/winch"
)

// scriptedTable is a store whose reads and calls for changes return prepared responses in order. The last
// one of each is repeated. It refuses calls beyond maxScriptedCalls.
type scriptedTable struct {
	winch.Table
	reads, watches []scriptedResponse
	calls          int
}

// scriptedResponse holds what a call returns: changed or read values, and a revision.
type scriptedResponse struct {
	keys     []string
	revision uint64
}

func (t *scriptedTable) next(list *[]scriptedResponse) (values []winch.Value, revision uint64, err error) {
	if t.calls++; t.calls > maxScriptedCalls {
		return nil, 0, winch.ErrUnavailable
	}
	r := (*list)[0]
	if len(*list) > 1 {
		*list = (*list)[1:]
	}
	for _, key := range r.keys {
		values = append(values, winch.Value{Key: key, Version: r.revision})
	}
	return values, r.revision, nil
}

func (t *scriptedTable) Read(context.Context, string) ([]winch.Value, uint64, error) {
	return t.next(&t.reads)
}

func (t *scriptedTable) Watch(context.Context, string, uint64, time.Duration) (events []winch.Event, next uint64, err error) {
	values, next, err := t.next(&t.watches)
	for _, v := range values {
		events = append(events, winch.Event{Value: v})
	}
	return events, next, err
}

// maxScriptedCalls bounds the calls of one attempt to bring a copy up to date.
const maxScriptedCalls = 4

// Guards against recorded tasks that a new planner starts again: the store's responses end below the revision at
// which the planner took the office, and the copy of the progress is taken for complete.
func TestCopyThatEndsBelowTheRevisionIsNotUsed(t *testing.T) {
	t.Parallel()
	const until = 20
	old := []string{"progress/a"}
	all := []string{"progress/a", "progress/b"}
	for name, store := range map[string]*scriptedTable{
		"no changes, then the rest": {
			watches: []scriptedResponse{{revision: 10}, {keys: all, revision: until}},
			reads:   []scriptedResponse{{keys: all, revision: until}},
		},
		"no changes up to a later revision, then the rest": {
			watches: []scriptedResponse{{revision: 15}, {keys: all, revision: until}},
			reads:   []scriptedResponse{{keys: all, revision: until}},
		},
		"the same changes again": {
			watches: []scriptedResponse{{keys: old, revision: 10}},
			reads:   []scriptedResponse{{keys: all, revision: until}},
		},
		"no changes, and older values": {
			watches: []scriptedResponse{{revision: 10}},
			reads:   []scriptedResponse{{keys: old, revision: 12}, {keys: old, revision: 12}, {keys: all, revision: until}},
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.NewRelaxed(t)
			c := prefixCopy{values: map[string]winch.Value{"progress/a": {}}, revision: 10}
			err := c.catchUp(t.Context(), store, prefixProgress, until)
			for range 3 {
				is.True(store.calls <= maxScriptedCalls)
				if err == nil {
					break
				}
				store.calls = 0
				err = c.catchUp(t.Context(), store, prefixProgress, until)
			}
			is.NoErr(err)
			is.True(c.revision >= until)
			is.Equal(len(c.values), len(all))
		})
	}
}

// Guards against the same if the planner has no copy yet and the first values that it reads are older than its office.
func TestValuesOlderThanTheRevisionAreNotUsed(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	store := &scriptedTable{
		reads:   []scriptedResponse{{keys: []string{"progress/a"}, revision: 12}},
		watches: []scriptedResponse{{keys: []string{"progress/b"}, revision: 20}},
	}
	var c prefixCopy
	if err := c.catchUp(t.Context(), store, prefixProgress, 20); err != nil {
		is.Equal(c.revision, uint64(12))
		is.NoErr(c.catchUp(t.Context(), store, prefixProgress, 20))
	}
	is.Equal(c.revision, uint64(20))
	is.Equal(len(c.values), 2)
}

// Guards against a reading without end of a store that never shows the revision.
func TestCopyOfAStoreThatStaysBehindIsAnError(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	store := &scriptedTable{reads: []scriptedResponse{{revision: 12}}, watches: []scriptedResponse{{revision: 12}}}
	var c prefixCopy
	for range 3 {
		store.calls = 0
		is.True(c.catchUp(t.Context(), store, prefixProgress, 20) != nil)
		is.True(store.calls <= maxScriptedCalls)
	}
}

// staleReads makes some reads of a prefix return nothing, as of a revision before that of the office.
type staleReads struct {
	winch.Table
	prefix string
	count  int // count is how many such reads are left.
}

func (t *staleReads) Read(ctx context.Context, prefix string) ([]winch.Value, uint64, error) {
	if prefix == t.prefix && t.count > 0 {
		t.count--
		return nil, 1, nil
	}
	return t.Table.Read(ctx, prefix)
}

// Guards against a planner that takes an outdated roster, or outdated evacuations, for those that the planner before
// left: what runs at the workers that they lack is started again.
func TestRecordsOlderThanTheOfficeAreReadAgain(t *testing.T) {
	t.Parallel()
	for name, prefix := range map[string]string{"roster": keyRoster, "evacuations": simCodec{}.EvacuationPrefix()} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.NewRelaxed(t)
				w := newWorld(t, 67, 3, 9)
				settle()
				w.evacuate("d2")
				time.Sleep(time.Second)
				n := w.planner().node
				held := n.leadership.Load()
				stale := &staleReads{Table: n.Table, prefix: prefix, count: 2}
				reader := &Node{Name: n.Name, Table: stale, Codec: n.Codec, Log: n.Log, Metrics: n.Metrics, Policy: n.Policy}
				reader.settings.config.Store(n.Config())
				l := newLeadership(reader, held.term, held.revision, held.lease, time.Now().Add(officeTTL))
				is.True(l.load(w.ctx))
				is.Equal(stale.count, 0)
				is.Equal(len(l.previousRoster), 9)
				is.True(reader.evacuations.load().Contains("d2"))
				w.end()
			})
		})
	}
}
