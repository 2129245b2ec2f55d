package cause

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
)

// mostReasons is how many reasons a row of a table names.
const mostReasons = 5

// Print writes a report as tables. A reason stands with the number of jobs of which
// it is the longest wait, and the time that it took of all jobs that were not on time.
func Print(w io.Writer, r Report) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "QUEUE\tJOBS\tON TIME\tLATE\tMISSED\tOPEN\tWHAT THE TIME WENT INTO")
	for _, q := range r.Queues {
		fmt.Fprintf(t, "%s\t%s\t%s\n", q.Name, q.row(), reasons(q.Losses))
	}
	fmt.Fprintln(t)
	fmt.Fprintln(t, "ACCEPTED FROM\tJOBS\tON TIME\tLATE\tMISSED\tOPEN\tWHAT THE TIME WENT INTO")
	for _, m := range r.Moments {
		fmt.Fprintf(t, "%s\t%s\t%s\n", m.Begin.UTC().Format("15:04:05"), m.row(), reasons(m.Losses))
	}
	if len(r.Refusals) > 0 {
		fmt.Fprintln(t)
		fmt.Fprintln(t, "NOT ACCEPTED\tREQUESTS\tREASON")
		for _, x := range r.Refusals {
			fmt.Fprintf(t, "%d\t%d\t%s\n", x.Status, x.Count, x.Reason)
		}
	}
	return t.Flush()
}

func (c Class) row() string {
	return fmt.Sprintf("%d\t%d\t%d\t%d\t%d", c.Jobs, c.OnTime, c.Late, c.Missed, c.Open)
}

func reasons(losses []Loss) string {
	var out []string
	for _, l := range losses[:min(len(losses), mostReasons)] {
		out = append(out, fmt.Sprintf("%s %d (%s)", l.Reason, l.Jobs, l.Time.Round(100*time.Millisecond)))
	}
	return strings.Join(out, ", ")
}
