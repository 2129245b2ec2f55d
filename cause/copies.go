package cause

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"time"
)

// Messages of the log lines about copies of straggling runs.
const (
	messageCopyStarted = "copy started"
	messageCopyEnded   = "copy ended"
)

// QueueCopies holds the copies of the runs of one queue's jobs.
type QueueCopies struct {
	Queue   string
	Jobs    int // Jobs is the number of jobs that had copies.
	Started int
	Won     int           // Won is the number of copies that ended before the first run.
	Gained  time.Duration // Gained is by how much earlier the tasks ended than their first runs would have.
}

// copyKey identifies a copy.
type copyKey struct {
	job string
	run uint64
}

// addCopy adds a line about a copy. More than one planner may log its end.
func (r *Reader) addCopy(l logLine) {
	if r.copies == nil {
		r.copies = make(map[copyKey]logLine)
	}
	key := copyKey{l.Job, l.Run}
	if known, ok := r.copies[key]; !ok || l.Message == messageCopyEnded && !known.Won {
		r.copies[key] = l
	}
}

// queueCopies returns the copies by queue, those with the most copies first.
func (r *Reader) queueCopies() []QueueCopies {
	byQueue := make(map[string]*QueueCopies)
	jobs := make(map[string]bool)
	for key, l := range r.copies {
		queue := cmp.Or(r.accepted[key.job].Queue, r.completed[key.job].Queue)
		x := byQueue[queue]
		if x == nil {
			x = &QueueCopies{Queue: queue}
			byQueue[queue] = x
		}
		if !jobs[key.job] {
			jobs[key.job] = true
			x.Jobs++
		}
		x.Started++
		if l.Won {
			x.Won++
			x.Gained += seconds(l.Gain)
		}
	}
	var out []QueueCopies
	for _, x := range byQueue {
		out = append(out, *x)
	}
	slices.SortFunc(out, func(a, b QueueCopies) int {
		return cmp.Or(cmp.Compare(b.Started, a.Started), cmp.Compare(a.Queue, b.Queue))
	})
	return out
}

// printCopies writes the copies by queue.
func printCopies(w io.Writer, all []QueueCopies) {
	if len(all) == 0 {
		return
	}
	fmt.Fprintln(w)
	fmt.Fprintln(w, "COPIES OF\tJOBS\tSTARTED\tENDED FIRST\tGAINED")
	for _, c := range all {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%s\n", c.Queue, c.Jobs, c.Started, c.Won, c.Gained.Round(100*time.Millisecond))
	}
}
