package cmds

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"plantainwinch/entry"
	"plantainwinch/state/config"
	"plantainwinch/trans/front"
	"plantainwinch/winch"
)

func newKey() *cobra.Command {
	var c client
	cmd := &cobra.Command{Use: "key", Short: "Issue, withdraw and list keys", Example: "  plantainwinch key list"}
	c.addOperatorFlags(cmd)
	cmd.AddCommand(newKeyIssue(&c), newKeyWithdraw(&c), newObjectList(&c, "key", keyRows), newKeyHash())
	return cmd
}

func newKeyIssue(c *client) *cobra.Command {
	role := string(winch.KeyTeam)
	cmd := &cobra.Command{
		Use:     "issue HOLDER",
		Short:   "Issue a key for a team, the owner of a service or an operator, and print it; it cannot be shown again",
		Example: "  plantainwinch key issue choir-north\n  plantainwinch key issue render --role Owner",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var reply front.KeyReply
			body := front.KeyBody{Role: winch.KeyRole(role), Holder: args[0]}
			if err := c.do(cmd.Context(), http.MethodPost, "/Operator/Keys", body, &reply); err != nil {
				return err
			}
			return c.print(cmd, reply, func(w io.Writer) { fmt.Fprintln(w, reply.Key) })
		},
	}
	cmd.Flags().StringVar(&role, "role", role, "role of the key: Team, Owner or Operator")
	return cmd
}

func newKeyWithdraw(c *client) *cobra.Command {
	return &cobra.Command{
		Use:     "withdraw ID",
		Short:   "Withdraw a key and end the work that waits under it",
		Example: "  plantainwinch key withdraw KABCDEFGHIJ",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			id, _, _ := strings.Cut(args[0], ".")
			var reply entry.Applied
			if err := c.do(cmd.Context(), http.MethodDelete, "/Operator/Keys/"+id, nil, &reply); err != nil {
				return err
			}
			return c.printAppliedReply(cmd, reply)
		},
	}
}

// newKeyHash returns the command that generates the first operator's key. Only the key's hash goes into the settings.
func newKeyHash() *cobra.Command {
	return &cobra.Command{
		Use:     "hash",
		Short:   "Generate the first operator's key and print it with its hash for [Cell] OperatorKeyHash",
		Example: "  plantainwinch key hash",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			secret, key := config.NewKey()
			fmt.Fprintf(cmd.OutOrStdout(), "Key = %s\nOperatorKeyHash = %s\n", secret, key.Hash)
			return nil
		},
	}
}

func keyRows(w io.Writer, doc *winch.Document) {
	printRow(w, "KEY", "ROLE", "HOLDER", "ISSUED")
	for _, id := range slices.Sorted(maps.Keys(doc.Keys)) {
		k := doc.Keys[id]
		printRow(w, k.ID, k.Role, k.Holder, k.Issued.Format(time.RFC3339))
	}
}
