package cause

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"plantainwinch/coord/fleet"
)

// completedLine returns the log line of the completion of a job with an objective of one second.
func completedLine(job string, took float64) string {
	return fmt.Sprintf(`{"ts":"2026-05-18T20:00:00Z","msg":"job ended","job":%q,"queue":"q","state":"Done","took":%g,"objective":1}`+"\n", job, took)
}

// Several planners may log the completion of the same job. It must count only once.
func TestCompletionLoggedTwiceCountsOnce(t *testing.T) {
	is := is.New(t)
	r := Reader{Interval: time.Second}
	is.NoErr(r.Read(strings.NewReader(completedLine("a", 0.5) + completedLine("a", 0.5))))
	got := r.Report().Queues
	is.Equal(len(got), 1)
	is.Equal(got[0].Class, Class{Jobs: 1, OnTime: 1})
}

// Jobs count as on time up to one objective, as late up to three and as missed beyond.
func TestJobsAreCountedByObjective(t *testing.T) {
	is := is.New(t)
	r := Reader{Interval: time.Second}
	is.NoErr(r.Read(strings.NewReader(completedLine("a", 1) + completedLine("b", 1.01) + completedLine("c", 3) + completedLine("d", 3.01))))
	is.Equal(r.Report().Queues[0].Class, Class{Jobs: 4, OnTime: 1, Late: 2, Missed: 1})
}

// An empty log must give an empty report and no error.
func TestEmptyLogGivesEmptyReport(t *testing.T) {
	is := is.New(t)
	r := Reader{Interval: time.Second}
	is.NoErr(r.Read(strings.NewReader("")))
	is.Equal(len(r.Report().Queues), 0)
}

// A caller learns that its job is completed when it next requests the state. If that is later than the
// objective, the job must count as late although its completion was recorded in time.
func TestTimeCountsUntilCallerReceivesFinalState(t *testing.T) {
	is := is.New(t)
	r := &Reader{Interval: time.Second}
	is.NoErr(r.Read(strings.NewReader(`{"ts":"2026-01-01T00:00:00Z","msg":"accepted","job":"a","queue":"q"}
{"ts":"2026-01-01T00:00:00.5Z","msg":"answered","job":"a","method":"GET"}
{"ts":"2026-01-01T00:00:01Z","msg":"job ended","job":"a","queue":"q","state":"Done","took":1,"objective":1.2}
{"ts":"2026-01-01T00:00:01.4Z","msg":"answered","job":"a","method":"GET"}
{"ts":"2026-01-01T00:00:01.5Z","msg":"answered","job":"a","method":"GET"}
`)))
	queue := r.Report().Queues[0]
	is.Equal(queue.Late, 1)
	is.Equal(queue.Losses[0].Reason, reasonNotRequested)
}

// Jobs that waited because their team used more than its share must be told apart from those that
// waited for capacity.
func TestWaitBehindOtherTeamsIsNamed(t *testing.T) {
	is := is.New(t)
	r := Reader{Interval: time.Second}
	is.NoErr(r.Read(strings.NewReader(`{"ts":"2026-05-18T20:00:00Z","msg":"job ended","job":"a","queue":"q","state":"Done","took":3,"objective":1,` +
		`"waited":{"team above its share":1.5,"insufficient capacity":0.5}}` + "\n")))
	is.Equal(r.Report().Queues[0].Losses[0], DelayCause{Reason: fleet.WaitShare.String(), Jobs: 1, Time: 1500 * time.Millisecond})
}

// Guards against evictions that do not show: a batch job that is late because its runs were stopped for
// urgent work must name that as the cause.
func TestEvictionIsNamedAsCause(t *testing.T) {
	is := is.New(t)
	r := &Reader{Interval: time.Second}
	is.NoErr(r.Read(strings.NewReader(`{"ts":"2026-01-01T00:00:00Z","msg":"accepted","job":"a","queue":"q"}
{"ts":"2026-01-01T00:00:09Z","msg":"job ended","job":"a","queue":"q","state":"Done","took":9,"objective":6,"waited":{"insufficient capacity":1.5,"evicted for urgent work":2.5}}
`)))
	losses := r.Report().Queues[0].Losses
	is.Equal(losses[0].Reason, fleet.WaitEvicted.String())
	is.Equal(losses[0].Jobs, 1)
	is.Equal(losses[0].Time, 2500*time.Millisecond)
}

// Guards against refusals for load whose report does not show how old the states were that they rest on.
func TestReportShowsAgeOfAdmissionStates(t *testing.T) {
	is := is.New(t)
	r := &Reader{Interval: time.Second}
	is.NoErr(r.Read(strings.NewReader(`{"msg":"job refused","job":"a","age":0.2,"term":3}
{"msg":"answered otherwise","job":"a","status":429,"reason":"Overloaded"}
{"msg":"job refused","job":"b","age":0.6,"term":3}
`)))
	report := r.Report()
	is.Equal(report.OldestState, 600*time.Millisecond)
	is.Equal(report.MeanState, 400*time.Millisecond)
	is.Equal(report.Refusals, []Refusal{{Status: 429, Reason: "Overloaded", Count: 1}})
	var out strings.Builder
	is.NoErr(Print(&out, report))
	is.True(strings.Contains(out.String(), "refused for load by states of 400ms on average, 600ms at most"))
}
