package cause

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
)

// maxReasons is the number of reasons that a row of a table names.
const maxReasons = 5

// Print writes a report as tables. Each reason is followed by the number of jobs for which it is the
// longest wait, and by its total time over all jobs that were not on time.
func Print(w io.Writer, r Report) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "QUEUE\tJOBS\tON TIME\tLATE\tMISSED\tOPEN\tWHAT THE TIME WENT INTO")
	for _, q := range r.Queues {
		fmt.Fprintf(t, "%s\t%s\t%s\n", q.Name, q.row(), formatCauses(q.Losses))
	}
	fmt.Fprintln(t)
	fmt.Fprintln(t, "ACCEPTED FROM\tJOBS\tON TIME\tLATE\tMISSED\tOPEN\tWHAT THE TIME WENT INTO")
	for _, m := range r.Moments {
		fmt.Fprintf(t, "%s\t%s\t%s\n", m.Begin.UTC().Format("15:04:05"), m.row(), formatCauses(m.Losses))
	}
	if len(r.Refusals) > 0 {
		fmt.Fprintln(t)
		fmt.Fprintln(t, "NOT ACCEPTED\tREQUESTS\tREASON")
		for _, x := range r.Refusals {
			fmt.Fprintf(t, "%d\t%d\t%s\n", x.Status, x.Count, x.Reason)
		}
	}
	if r.OldestState > 0 {
		fmt.Fprintf(t, "refused for load by states of %v on average, %v at most\n", r.MeanState.Round(time.Millisecond), r.OldestState.Round(time.Millisecond))
	}
	printCrashes(t, r.Crashes)
	printCopies(t, r.Copies)
	return t.Flush()
}

// maxCrashRows bounds the number of rows of the table of crashes.
const maxCrashRows = 20

// printCrashes writes the tasks that were given up and those under which several workers crashed.
func printCrashes(w io.Writer, all []CrashingTask) {
	rows := 0
	for _, c := range all {
		if !c.GivenUp && len(c.Workers) < 2 || rows == maxCrashRows {
			continue
		}
		if rows == 0 {
			fmt.Fprintln(w)
			fmt.Fprintln(w, "CRASHES WORKERS\tGIVEN UP\tWORKERS")
		}
		rows++
		fmt.Fprintf(w, "%s phase %d index %d\t%t\t%s\n", c.Job, c.Phase, c.Index, c.GivenUp, strings.Join(c.Workers, ", "))
	}
}

// row returns the counts as columns of a table.
func (c Class) row() string {
	return fmt.Sprintf("%d\t%d\t%d\t%d\t%d", c.Jobs, c.OnTime, c.Late, c.Missed, c.Open)
}

// formatCauses returns the first maxReasons causes as one line.
func formatCauses(causes []DelayCause) string {
	var out []string
	for _, l := range causes[:min(len(causes), maxReasons)] {
		out = append(out, fmt.Sprintf("%s %d (%s)", l.Reason, l.Jobs, l.Time.Round(100*time.Millisecond)))
	}
	return strings.Join(out, ", ")
}
