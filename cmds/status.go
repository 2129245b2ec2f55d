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
	c.operatorFlags(cmd)
	return cmd
}

func printStatus(w io.Writer, s entry.CellStatus) {
	row(w, "ENTRY", "DOMAIN", "CONFIG", "SERVICE", "SLOTS", "BUSY", "QUEUED")
	for _, e := range s.Entries {
		for _, l := range e.Loads {
			row(w, e.Name, e.Domain, e.Config, l.Service, l.Slots, l.Busy, l.Queued)
		}
		if len(e.Loads) == 0 {
			row(w, e.Name, e.Domain, e.Config, "-", "-", "-", "-")
		}
	}
	fmt.Fprintln(w)
	row(w, "DOMAIN", "PLACER", "EPOCH", "PROCESSORS", "MEMORY", "WAITING")
	for _, d := range s.Domains {
		row(w, d.Name, d.Placer, d.Epoch, fmt.Sprintf("%d of %d", d.Used.Processors, d.Size.Processors),
			conf.FormatBytes(d.Used.Memory)+" of "+conf.FormatBytes(d.Size.Memory), d.Waiting)
	}
	fmt.Fprintln(w)
	row(w, "TEAM", "RUNNING", "LIMIT", "SHARE", "WAITING FOR LIMIT")
	for _, t := range s.Teams {
		row(w, t.Name, t.Running, t.Limit, t.Share, t.Waiting)
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
				row(w, "VERSION", "TIME", "ACTOR", "ACTION", "OBJECT", "DETAIL")
				for _, l := range lines {
					row(w, l.Version, l.Time.Format(time.RFC3339), l.Actor, l.Action, l.Object, l.Detail)
				}
			})
		},
	}
	c.operatorFlags(cmd)
	return cmd
}
