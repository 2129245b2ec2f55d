// Package cause analyzes the logs of a region's entries. It finds out which jobs were late or not
// accepted, when, and what they spent their time on.
package cause

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	"plantainwinch/winch"
)

// maxLineSize bounds the length of a log line, in bytes.
const maxLineSize = 4 << 20

// Messages of the log lines that are evaluated. They must match the texts that the entries log.
const (
	messageAccepted = "accepted"
	messageEnded    = "job ended"
	messageRefused  = "answered otherwise"
	messageAnswered = "answered"
	messageCrash    = "crash counted"
	messageGate     = "job refused"
)

// methodState is the HTTP method of a request for the state of a job.
const methodState = "GET"

// logLine holds the evaluated fields of a log line, in the formats of zap: ts in RFC 3339,
// durations in seconds.
type logLine struct {
	Message   string             `json:"msg"`
	Method    string             `json:"method"`
	At        time.Time          `json:"ts"`
	Job       string             `json:"job"`
	Queue     string             `json:"queue"`
	State     string             `json:"state"`
	Took      float64            `json:"took"`
	Objective float64            `json:"objective"`
	Waited    map[string]float64 `json:"waited"`
	Status    int                `json:"status"`
	Reason    string             `json:"reason"`
	Phase     int                `json:"phase"`
	Index     int                `json:"index"`
	Worker    string             `json:"worker"`
	GivenUp   bool               `json:"givenUp"`
	Run       uint64             `json:"run"`
	Won       bool               `json:"won"`
	Gain      float64            `json:"gain"`
	Age       float64            `json:"age"`
}

// Class counts jobs by the time that they took relative to their objective.
type Class struct {
	Jobs   int // Jobs is the number of jobs that were completed, have failed or are open.
	OnTime int
	Late   int // Late is the number of jobs that took longer than the objective, but at most three times it.
	Missed int // Missed is the number of jobs that took more than three times the objective, or failed.
	Open   int // Open is the number of accepted jobs whose completion is not in the logs.
}

// DelayCause says how much a reason for waiting delayed the jobs that were not on time.
type DelayCause struct {
	Reason string
	Jobs   int           // Jobs is the number of jobs for which this is the longest wait.
	Time   time.Duration // Time is the total waiting time of the jobs that were not on time.
}

// Queue holds the results of the jobs of one queue.
type Queue struct {
	Name string
	Class
	Losses []DelayCause // Losses holds the causes of delay, that of the most jobs first.
}

// Interval holds the results of the jobs that were accepted in one interval.
type Interval struct {
	Begin time.Time
	Class
	Losses []DelayCause
}

// Refusal is the number of requests that were not accepted with one status and reason.
type Refusal struct {
	Status int
	Reason string
	Count  int
}

// CrashingTask is a task under which workers crashed.
type CrashingTask struct {
	Job          string
	Phase, Index int
	Workers      []string // Workers lists the crashed workers in the order of their crashes.
	// GivenUp reports that the job failed because of these crashes.
	GivenUp bool
}

// Report is the result of an analysis of logs.
type Report struct {
	Queues   []Queue
	Moments  []Interval
	Refusals []Refusal
	// OldestState is the age of the oldest admission state by which a job was refused, MeanState their mean.
	OldestState, MeanState time.Duration `json:",omitempty"`
	// Crashes holds the tasks that were given up first, then by descending number of crashes.
	Crashes []CrashingTask `json:",omitempty"`
	Copies  []QueueCopies  `json:",omitempty"`
}

// Reader collects log lines and reports on them. Set the exported field before the first Read.
type Reader struct {
	// Interval is the length of the intervals of the report's Moments.
	Interval time.Duration

	accepted  map[string]logLine
	completed map[string]logLine
	refused   map[Refusal]int
	crashes   []logLine
	copies    map[copyKey]logLine // copies holds the last line about each copy.
	// stateAges holds the ages of the states by which jobs were refused, in seconds.
	stateAges []float64
	// stateSent holds the times at which callers received the state of each job.
	stateSent map[string][]time.Time
}

// Read reads a log with one JSON object per line. Text before the object is ignored, as are lines
// without an object.
func (r *Reader) Read(in io.Reader) error {
	if r.accepted == nil {
		r.accepted, r.completed, r.refused = make(map[string]logLine), make(map[string]logLine), make(map[Refusal]int)
		r.stateSent = make(map[string][]time.Time)
	}
	scan := bufio.NewScanner(in)
	scan.Buffer(nil, maxLineSize)
	for scan.Scan() {
		start := bytes.IndexByte(scan.Bytes(), '{')
		var l logLine
		if start < 0 || json.Unmarshal(scan.Bytes()[start:], &l) != nil {
			continue
		}
		r.add(l)
	}
	return merry.Prepend(scan.Err(), "reading the log failed")
}

// add adds a log line. Of several lines on the acceptance or the completion of a job, the earliest counts:
// more than one planner may log them.
func (r *Reader) add(l logLine) {
	switch l.Message {
	case messageAccepted:
		if first, known := r.accepted[l.Job]; !known || l.At.Before(first.At) {
			r.accepted[l.Job] = l
		}
	case messageEnded:
		l.Waited = renameReasons(l.Waited)
		if first, known := r.completed[l.Job]; !known || l.At.Before(first.At) {
			r.completed[l.Job] = l
		}
	case messageAnswered:
		if l.Method == methodState {
			r.stateSent[l.Job] = append(r.stateSent[l.Job], l.At)
		}
	case messageCrash:
		r.crashes = append(r.crashes, l)
	case messageCopyStarted, messageCopyEnded:
		r.addCopy(l)
	case messageGate:
		r.stateAges = append(r.stateAges, l.Age)
	case messageRefused:
		r.refused[Refusal{Status: l.Status, Reason: l.Reason}]++
	}
}

// untilStateSent returns the log line of a job's completion with the time added until the caller received
// the final state: callers wait from the acceptance to the first response after the completion is
// recorded.
func (r *Reader) untilStateSent(job string, completed logLine) logLine {
	first := time.Time{}
	for _, at := range r.stateSent[job] {
		if !at.Before(completed.At) && (first.IsZero() || at.Before(first)) {
			first = at
		}
	}
	if !first.IsZero() {
		wait := first.Sub(completed.At).Seconds()
		completed.Took += wait
		completed.Waited = maps.Clone(completed.Waited)
		if completed.Waited == nil {
			completed.Waited = make(map[string]float64)
		}
		completed.Waited[reasonNotRequested] = wait
	}
	return completed
}

// reasonNotRequested is the reason of the wait of a completed job until its caller requests its state.
const reasonNotRequested = "state not requested"

// tally accumulates job counts and causes of delay.
type tally struct {
	Class
	causes map[string]*DelayCause
}

// delayCause returns the entry of a reason, which it adds if there is none.
func (t *tally) delayCause(reason string) *DelayCause {
	if t.causes == nil {
		t.causes = make(map[string]*DelayCause)
	}
	if t.causes[reason] == nil {
		t.causes[reason] = &DelayCause{Reason: reason}
	}
	return t.causes[reason]
}

// add counts a job that was completed or has failed. The time of a job without waits counts as work.
func (t *tally) add(l logLine) {
	t.Jobs++
	switch {
	case l.State == "Failed" || l.Took > winch.LateFactor*l.Objective:
		t.Missed++
	case l.Took <= l.Objective:
		t.OnTime++
		return
	default:
		t.Late++
	}
	longest, longestWait := "work", 0.0
	for _, reason := range slices.Sorted(maps.Keys(l.Waited)) {
		d := l.Waited[reason]
		t.delayCause(reason).Time += seconds(d)
		if d > longestWait {
			longest, longestWait = reason, d
		}
	}
	t.delayCause(longest).Jobs++
}

// sortedCauses returns the causes of delay in descending order of jobs, then of time.
func (t *tally) sortedCauses() []DelayCause {
	out := make([]DelayCause, 0, len(t.causes))
	for _, x := range t.causes {
		out = append(out, *x)
	}
	slices.SortFunc(out, func(a, b DelayCause) int {
		return cmp.Or(cmp.Compare(b.Jobs, a.Jobs), cmp.Compare(b.Time, a.Time), cmp.Compare(a.Reason, b.Reason))
	})
	return out
}

// Report returns the analysis of the lines read so far. Cancelled jobs are left out.
func (r *Reader) Report() Report {
	queues, moments := make(map[string]*tally), make(map[time.Time]*tally)
	count := func(queue string, at time.Time, f func(*tally)) {
		begin := at.Truncate(max(r.Interval, time.Millisecond))
		if queues[queue] == nil {
			queues[queue] = &tally{}
		}
		if moments[begin] == nil {
			moments[begin] = &tally{}
		}
		f(queues[queue])
		f(moments[begin])
	}
	for job, l := range r.completed {
		if l.State == "Cancelled" {
			continue
		}
		at := l.At.Add(-seconds(l.Took))
		if a, known := r.accepted[job]; known {
			at = a.At
		}
		l = r.untilStateSent(job, l)
		count(l.Queue, at, func(t *tally) { t.add(l) })
	}
	for job, a := range r.accepted {
		if _, ended := r.completed[job]; !ended {
			count(a.Queue, a.At, func(t *tally) { t.Jobs++; t.Open++ })
		}
	}
	var out Report
	for name, t := range queues {
		out.Queues = append(out.Queues, Queue{Name: name, Class: t.Class, Losses: t.sortedCauses()})
	}
	for begin, t := range moments {
		out.Moments = append(out.Moments, Interval{Begin: begin, Class: t.Class, Losses: t.sortedCauses()})
	}
	for x, n := range r.refused {
		out.Refusals = append(out.Refusals, Refusal{Status: x.Status, Reason: x.Reason, Count: n})
	}
	for _, age := range r.stateAges {
		out.OldestState = max(out.OldestState, seconds(age))
		out.MeanState += seconds(age) / time.Duration(len(r.stateAges))
	}
	out.Crashes, out.Copies = r.crashingTasks(), r.queueCopies()
	slices.SortFunc(out.Queues, func(a, b Queue) int {
		return cmp.Or(cmp.Compare(b.Late+b.Missed, a.Late+a.Missed), cmp.Compare(a.Name, b.Name))
	})
	slices.SortFunc(out.Moments, func(a, b Interval) int { return a.Begin.Compare(b.Begin) })
	slices.SortFunc(out.Refusals, func(a, b Refusal) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Status, b.Status), cmp.Compare(a.Reason, b.Reason))
	})
	return out
}

// crashingTasks returns the tasks under which workers crashed.
func (r *Reader) crashingTasks() []CrashingTask {
	slices.SortStableFunc(r.crashes, func(a, b logLine) int { return a.At.Compare(b.At) })
	var out []CrashingTask
	for _, l := range r.crashes {
		i := slices.IndexFunc(out, func(c CrashingTask) bool { return c.Job == l.Job && c.Phase == l.Phase && c.Index == l.Index })
		if i < 0 {
			i = len(out)
			out = append(out, CrashingTask{Job: l.Job, Phase: l.Phase, Index: l.Index})
		}
		out[i].Workers = append(out[i].Workers, l.Worker)
		out[i].GivenUp = out[i].GivenUp || l.GivenUp
	}
	slices.SortStableFunc(out, func(a, b CrashingTask) int {
		switch {
		case a.GivenUp == b.GivenUp:
			return cmp.Compare(len(b.Workers), len(a.Workers))
		case a.GivenUp:
			return -1
		}
		return 1
	})
	return out
}

// seconds converts a number of seconds to a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
