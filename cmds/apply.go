package cmds

import (
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/spf13/cobra"

	"plantainwinch/conf"
	"plantainwinch/trans/front"
	"plantainwinch/winch"
)

func newApply() *cobra.Command {
	var c client
	var files []string
	var body front.ApplyBody
	cmd := &cobra.Command{
		Use:   "apply -f FILE...",
		Short: "Apply declarations of teams, classes and services",
		Long: "Apply declarations of teams, classes and services. Objects that the files do not name are left unchanged;\n" +
			"a section with the single line Remove = true removes its object.",
		Example: "  plantainwinch apply -f cell.ini --dry-run\n  plantainwinch apply -f cell.ini --base 12",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var err error
			if body.Declared, err = conf.LoadDeclarations(files); err != nil {
				return err
			}
			var reply front.ApplyReply
			if err := c.do(cmd.Context(), http.MethodPost, "/Operator/Apply", body, &reply); err != nil {
				return err
			}
			return c.print(cmd, reply, func(w io.Writer) { printApply(w, body.DryRun, reply) })
		},
	}
	c.addOperatorFlags(cmd)
	cmd.Flags().StringArrayVarP(&files, "file", "f", nil, "file with declarations; may be repeated")
	cmd.Flags().BoolVar(&body.DryRun, "dry-run", false, "show what would change without changing it")
	cmd.Flags().Uint64Var(&body.Base, "base", 0, "version that the change is based on; the change is refused if this is not the current version")
	_ = cmd.MarkFlagRequired("file")
	return cmd
}

func printApply(w io.Writer, dry bool, reply front.ApplyReply) {
	printChanges(w, reply.Changes)
	if dry {
		fmt.Fprintf(w, "dry run, based on version %d: nothing was changed\n", reply.Version)
		return
	}
	printApplied(w, reply.Version, reply.Unchanged, reply.Confirmed, reply.Missing)
}

func printChanges(w io.Writer, lines []winch.Audit) {
	signs := map[string]string{"add": "+", "remove": "-", "change": "~"}
	for _, l := range lines {
		printRow(w, signs[l.Action], l.Object, l.Detail)
	}
}

func printApplied(w io.Writer, version uint64, unchanged bool, confirmed, missing []string) {
	switch {
	case unchanged:
		fmt.Fprintf(w, "version %d already says so\n", version)
	case len(missing) == 0:
		fmt.Fprintf(w, "version %d is in force in all %d entries\n", version, len(confirmed))
	default:
		fmt.Fprintf(w, "version %d is accepted; in force in %s; not confirmed by %s\n",
			version, strings.Join(confirmed, ", "), strings.Join(missing, ", "))
	}
}
