package cmds

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/spf13/cobra"

	"plantainwinch/conf"
	"plantainwinch/entry"
	"plantainwinch/winch"
)

func newStatus() *cobra.Command {
	var c client
	cmd := &cobra.Command{
		Use:     "status",
		Short:   "Show the entries, the failure domains, and how much of its limit each team uses",
		Example: "  plantainwinch status --operators 127.0.0.1:7002",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var s entry.CellStatus
			if err := c.do(cmd.Context(), http.MethodGet, "/Operator/Status", nil, &s); err != nil {
				return err
			}
			return c.print(cmd, s, func(w io.Writer) { printStatus(w, s) })
		},
	}
	c.addOperatorFlags(cmd)
	return cmd
}

func printStatus(w io.Writer, s entry.CellStatus) {
	printRow(w, "ENTRY", "DOMAIN", "CONFIG", "SERVICE", "SLOTS", "BUSY", "QUEUED")
	for _, e := range s.Entries {
		for _, l := range e.Loads {
			printRow(w, e.Name, e.Domain, e.Config, l.Service, l.Slots, l.Busy, l.Queued)
		}
		if len(e.Loads) == 0 {
			printRow(w, e.Name, e.Domain, e.Config, "-", "-", "-", "-")
		}
	}
	fmt.Fprintln(w)
	printRow(w, "DOMAIN", "PLACER", "EPOCH", "PROCESSORS", "MEMORY", "WAITING")
	for _, d := range s.Domains {
		printRow(w, d.Name, d.Placer, d.Epoch, fmt.Sprintf("%d of %d", d.Used.Processors, d.Size.Processors),
			conf.FormatBytes(d.Used.Memory)+" of "+conf.FormatBytes(d.Size.Memory), d.Waiting)
	}
	fmt.Fprintln(w)
	printRow(w, "TEAM", "RUNNING", "LIMIT", "SHARE", "WAITING FOR LIMIT")
	for _, t := range s.Teams {
		printRow(w, t.Name, t.Running, t.Limit, t.Share, t.Waiting)
	}
}

func newAudit() *cobra.Command {
	var c client
	cmd := &cobra.Command{
		Use:     "audit",
		Short:   "Show all configuration changes: version, time, actor, action and object",
		Example: "  plantainwinch audit",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var lines []winch.Audit
			if err := c.do(cmd.Context(), http.MethodGet, "/Operator/Audit", nil, &lines); err != nil {
				return err
			}
			return c.print(cmd, lines, func(w io.Writer) {
				printRow(w, "VERSION", "TIME", "ACTOR", "ACTION", "OBJECT", "DETAIL")
				for _, l := range lines {
					printRow(w, l.Version, l.Time.Format(time.RFC3339), l.Actor, l.Action, l.Object, l.Detail)
				}
			})
		},
	}
	c.addOperatorFlags(cmd)
	return cmd
}
