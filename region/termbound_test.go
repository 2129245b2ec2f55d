package region

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"plantainwinch/proto"
)

// Guards against a region that forgets when a term began: all entries are restarted, one after the other.
func TestRestartedEntriesKnowWhenATermBegan(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		w := newWorld(t, 41, 3, 3)
		settle()
		first := w.planner().node.leadership.Load()
		var hosts []*simNode
		for _, n := range w.nodes {
			if n != w.planner() {
				hosts = append(hosts, n)
			}
		}
		hosts = append(hosts, w.planner())
		for _, n := range hosts {
			n.kill()
			time.Sleep(300 * time.Millisecond)
			n.start()
			time.Sleep(1200 * time.Millisecond)
		}
		for w.planner() == nil {
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(time.Second)
		for _, n := range w.nodes {
			at, seen := n.node.cell.termSeen(first.term)
			is.True(seen)
			age := time.Since(first.startedAt)
			is.True(time.Since(at) <= age+10*time.Millisecond) // The term is recorded some calls before startedAt.
			is.True(time.Since(at) > age*8/10)                 // Each report is a little less than what the entry knows.
		}
		w.end()
	})
}

// Guards against terms that count as begun earlier than anybody saw them begin, and against reports that
// replace what the entry has seen itself.
func TestReportedTermAgesKeepTheEarliestTime(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := &cellView{}
		start := time.Now()
		time.Sleep(time.Minute)
		c.noteTerm(7)
		time.Sleep(time.Second)
		c.noteTermAges([]proto.TermAge{{Term: 5, Age: 40 * time.Second}, {Term: 7}})
		at, seen := c.termSeen(4)
		is.True(seen)
		is.Equal(at.Sub(start), 22*time.Second) // The other entry's clock may be fast by 2.5 per cent.
		at, _ = c.termSeen(6)
		is.Equal(at.Sub(start), time.Minute)
		_, seen = c.termSeen(8)
		is.True(!seen)
		time.Sleep(time.Second)
		c.noteTerm(8)
		is.Equal(len(c.terms), 3)
		for term := range uint64(2 * maxTerms) {
			c.noteTermAges([]proto.TermAge{{Term: 10 + term, Age: time.Second}})
		}
		is.Equal(len(c.terms), maxTerms)
	})
}
