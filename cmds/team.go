package cmds

import (
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"

	"github.com/ansel1/merry/v2"
	"github.com/spf13/cobra"

	"plantainwinch/conf"
	"plantainwinch/state/config"
	"plantainwinch/trans/front"
	"plantainwinch/winch"
)

func newTeam() *cobra.Command {
	var c client
	cmd := &cobra.Command{Use: "team", Short: "Create, list and show teams", Example: "  plantainwinch team list"}
	c.addOperatorFlags(cmd)
	cmd.AddCommand(newTeamCreate(&c), newObjectList(&c, "team", teamRows), newObjectShow(&c, "team", func(d *winch.Document) map[string]winch.Team { return d.Teams }))
	return cmd
}

func newTeamCreate(c *client) *cobra.Command {
	var t winch.Team
	cmd := &cobra.Command{
		Use:     "create NAME",
		Short:   "Create or change a team",
		Example: "  plantainwinch team create choir-north --share 2 --limit 40",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			t.Name = args[0]
			if err := config.CheckTeam(t); err != nil {
				return err
			}
			return c.apply(cmd, config.Declared{Teams: map[string]winch.Team{t.Name: t}})
		},
	}
	cmd.Flags().IntVar(&t.Share, "share", 1, "share of a fully used fleet, relative to the other teams")
	cmd.Flags().IntVar(&t.Limit, "limit", 0, "maximum number of requests and tasks that run at once in the whole fleet")
	cmd.Flags().DurationVar(&t.CutOffTrust, "cut-off-trust", conf.DefaultCutOffTrust, "how long its keys stay valid in a partitioned failure domain")
	_ = cmd.MarkFlagRequired("limit")
	return cmd
}

// apply applies declared objects and prints the changes.
func (c *client) apply(cmd *cobra.Command, d config.Declared) error {
	var reply front.ApplyReply
	if err := c.do(cmd.Context(), http.MethodPost, "/Operator/Apply", front.ApplyBody{Declared: d}, &reply); err != nil {
		return err
	}
	return c.print(cmd, reply, func(w io.Writer) { printApply(w, false, reply) })
}

// fetchDocument fetches the whole configuration.
func (c *client) fetchDocument(cmd *cobra.Command) (*winch.Document, error) {
	doc := new(winch.Document)
	return doc, c.do(cmd.Context(), http.MethodGet, "/Operator/Document", nil, doc)
}

// newObjectList returns the command that lists one kind of declared object.
func newObjectList(c *client, kind string, rows func(w io.Writer, doc *winch.Document)) *cobra.Command {
	return &cobra.Command{
		Use:     "list",
		Short:   "List the declared objects",
		Example: "  plantainwinch " + kind + " list --output json",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			doc, err := c.fetchDocument(cmd)
			if err != nil {
				return err
			}
			return c.print(cmd, doc, func(w io.Writer) { rows(w, doc) })
		},
	}
}

// newObjectShow returns the command that shows one declared object as JSON.
func newObjectShow[T any](c *client, kind string, pick func(*winch.Document) map[string]T) *cobra.Command {
	return &cobra.Command{
		Use:     "show NAME",
		Short:   "Show one declared object as JSON",
		Example: "  plantainwinch " + kind + " show NAME",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			doc, err := c.fetchDocument(cmd)
			if err != nil {
				return err
			}
			v, ok := pick(doc)[args[0]]
			if !ok {
				known := slices.Sorted(maps.Keys(pick(doc)))
				return withExitCode(exitRefused, merry.Errorf("%s %q is not declared; declared are %s", kind, args[0], strings.Join(known, ", ")))
			}
			c.Output = "json"
			return c.print(cmd, v, nil)
		},
	}
}

func teamRows(w io.Writer, doc *winch.Document) {
	printRow(w, "TEAM", "SHARE", "LIMIT", "CUT-OFF TRUST")
	for _, name := range slices.Sorted(maps.Keys(doc.Teams)) {
		t := doc.Teams[name]
		printRow(w, t.Name, t.Share, t.Limit, t.CutOffTrust)
	}
}

func newClass() *cobra.Command {
	var c client
	cmd := &cobra.Command{Use: "class", Short: "Create, list and show classes of work", Example: "  plantainwinch class list"}
	c.addOperatorFlags(cmd)
	cmd.AddCommand(newClassCreate(&c), newObjectList(&c, "class", classRows), newObjectShow(&c, "class", func(d *winch.Document) map[string]winch.Class { return d.Classes }))
	return cmd
}

func newClassCreate(c *client) *cobra.Command {
	var k winch.Class
	cmd := &cobra.Command{
		Use:     "create NAME",
		Short:   "Create or change a class",
		Example: "  plantainwinch class create preview --wait 4s --max-run 30s --repeatable",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			k.Name = args[0]
			if err := config.CheckClass(k); err != nil {
				return err
			}
			return c.apply(cmd, config.Declared{Classes: map[string]winch.Class{k.Name: k}})
		},
	}
	f := cmd.Flags()
	f.DurationVar(&k.Wait, "wait", 0, "target: maximum wait until the start")
	f.StringVar(&k.By, "by", "", "target: time of day, UTC, by which the work must be done, such as 06:00")
	f.DurationVar(&k.MaxRun, "max-run", 0, "maximum run time of one request or task")
	f.BoolVar(&k.Repeatable, "repeatable", false, "the work may be run more than once")
	f.BoolVar(&k.Preemptible, "preemptible", false, "tasks may be checkpointed for urgent work")
	return cmd
}

func classRows(w io.Writer, doc *winch.Document) {
	printRow(w, "CLASS", "TARGET", "MAX RUN", "REPEATABLE", "PREEMPTIBLE")
	for _, name := range slices.Sorted(maps.Keys(doc.Classes)) {
		k := doc.Classes[name]
		target := "done by " + k.By
		if k.By == "" {
			target = "started within " + k.Wait.String()
		}
		printRow(w, k.Name, target, k.MaxRun, k.Repeatable, k.Preemptible)
	}
}

func serviceRows(w io.Writer, doc *winch.Document) {
	printRow(w, "SERVICE", "MAX BODY", "APPROVED TEAMS")
	for _, name := range slices.Sorted(maps.Keys(doc.Services)) {
		s := doc.Services[name]
		printRow(w, s.Name, conf.FormatBytes(s.MaxBody), strings.Join(s.Approved, ", "))
	}
}
