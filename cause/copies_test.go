package cause

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against copies that are counted twice because two planners logged their end, or that are missing
// because only the earlier planner logged their start.
func TestCopiesAreCountedByQueue(t *testing.T) {
	is := is.New(t)
	r := &Reader{Interval: time.Second}
	is.NoErr(r.Read(strings.NewReader(`{"ts":"2026-01-01T00:00:00Z","msg":"accepted","job":"a","queue":"q"}
{"ts":"2026-01-01T00:00:01Z","msg":"copy started","job":"a","phase":0,"index":3,"run":7}
{"ts":"2026-01-01T00:00:02Z","msg":"copy ended","job":"a","phase":0,"index":3,"run":7,"won":false,"gain":0}
{"ts":"2026-01-01T00:00:02Z","msg":"copy ended","job":"a","phase":0,"index":3,"run":7,"won":true,"gain":0.75}
{"ts":"2026-01-01T00:00:02Z","msg":"copy ended","job":"a","phase":0,"index":4,"run":8,"won":false,"gain":0}
{"ts":"2026-01-01T00:00:03Z","msg":"copy started","job":"b","phase":0,"index":0,"run":9}
{"ts":"2026-01-01T00:00:04Z","msg":"job ended","job":"b","queue":"p","state":"Done","took":1,"objective":1.2}
`)))
	report := r.Report()
	is.Equal(report.Copies, []QueueCopies{{"q", 1, 2, 1, 750 * time.Millisecond}, {"p", 1, 1, 0, 0}})
	var out strings.Builder
	is.NoErr(Print(&out, report))
	is.True(strings.Contains(out.String(), "COPIES OF"))
}
