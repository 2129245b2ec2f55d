package cause

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// ended is a log's line of a job that took so many objectives of a second.
func ended(job string, took float64) string {
	return fmt.Sprintf(`{"ts":"2026-05-18T20:00:00Z","msg":"job ended","job":%q,"queue":"q","state":"Done","took":%g,"objective":1}`+"\n", job, took)
}

// A job that several planners log as ended is counted more than once.
func TestJobThatEndedTwiceIsCountedOnce(t *testing.T) {
	is := is.New(t)
	r := Reader{Every: time.Second}
	is.NoErr(r.Read(strings.NewReader(ended("a", 0.5) + ended("a", 0.5))))
	got := r.Report().Queues
	is.Equal(len(got), 1)
	is.Equal(got[0].Class, Class{Jobs: 1, OnTime: 1})
}

// The bounds between on time, late and missed are one and three objectives.
func TestClassesOfJobs(t *testing.T) {
	is := is.New(t)
	r := Reader{Every: time.Second}
	is.NoErr(r.Read(strings.NewReader(ended("a", 1) + ended("b", 1.01) + ended("c", 3) + ended("d", 3.01))))
	is.Equal(r.Report().Queues[0].Class, Class{Jobs: 4, OnTime: 1, Late: 2, Missed: 1})
}

// A log without any line of a job gives an empty report, and no failure.
func TestEmptyLog(t *testing.T) {
	is := is.New(t)
	r := Reader{Every: time.Second}
	is.NoErr(r.Read(strings.NewReader("")))
	is.Equal(len(r.Report().Queues), 0)
}

// A job whose end is recorded in time counts as on time although its caller was shown the end
// only when it asked again, too late.
func TestTimeCountsUntilTheCallerIsShownTheEnd(t *testing.T) {
	is := is.New(t)
	r := &Reader{Every: time.Second}
	is.NoErr(r.Read(strings.NewReader(`{"ts":"2026-01-01T00:00:00Z","msg":"accepted","job":"a","queue":"q"}
{"ts":"2026-01-01T00:00:00.5Z","msg":"answered","job":"a","method":"GET"}
{"ts":"2026-01-01T00:00:01Z","msg":"job ended","job":"a","queue":"q","state":"Done","took":1,"objective":1.2}
{"ts":"2026-01-01T00:00:01.4Z","msg":"answered","job":"a","method":"GET"}
{"ts":"2026-01-01T00:00:01.5Z","msg":"answered","job":"a","method":"GET"}
`)))
	queue := r.Report().Queues[0]
	is.Equal(queue.Late, 1)
	is.Equal(queue.Losses[0].Reason, reasonShown)
}
