package cmds

import (
	"io"
	"net/http"

	"github.com/ansel1/merry/v2"
	"github.com/spf13/cobra"

	"plantainwinch/conf"
	"plantainwinch/entry"
	"plantainwinch/state/config"
	"plantainwinch/winch"
)

func newService() *cobra.Command {
	var c client
	cmd := &cobra.Command{Use: "service", Short: "Create, list and show services, and approve teams", Example: "  plantainwinch service list"}
	c.addOperatorFlags(cmd)
	cmd.AddCommand(
		newServiceCreate(&c), newObjectList(&c, "service", serviceRows),
		newObjectShow(&c, "service", func(d *winch.Document) map[string]winch.Service { return d.Services }),
		newApprove(&c, "approve", http.MethodPut, "Allow a team to call the service; requires the key of the service's owner"),
		newApprove(&c, "revoke", http.MethodDelete, "Revoke a team's permission to call the service; requires the key of the service's owner"),
	)
	return cmd
}

func newServiceCreate(c *client) *cobra.Command {
	var body string
	cmd := &cobra.Command{
		Use:     "create NAME",
		Short:   "Create or change a service",
		Example: "  plantainwinch service create render --max-body 64MB",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			size, err := conf.ParseBytes(body)
			if err != nil {
				return merry.Prepend(err, "--max-body")
			}
			s := winch.Service{Name: args[0], MaxBody: size}
			return c.apply(cmd, config.Declared{Services: map[string]winch.Service{s.Name: s}})
		},
	}
	cmd.Flags().StringVar(&body, "max-body", "64MB", "maximum size of a request body")
	return cmd
}

// newApprove returns a command that changes whether a team may call a service.
func newApprove(c *client, name, method, short string) *cobra.Command {
	return &cobra.Command{
		Use:     name + " SERVICE TEAM",
		Short:   short,
		Example: "  plantainwinch service " + name + " render choir-north",
		Args:    cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			var reply entry.Applied
			path := "/Operator/Services/" + args[0] + "/Approved/" + args[1]
			if err := c.do(cmd.Context(), method, path, nil, &reply); err != nil {
				return err
			}
			return c.printAppliedReply(cmd, reply)
		},
	}
}

// printAppliedReply prints the version that a change produced and the entries that confirmed it.
func (c *client) printAppliedReply(cmd *cobra.Command, reply entry.Applied) error {
	return c.print(cmd, reply, func(w io.Writer) {
		printApplied(w, reply.Version, reply.Unchanged, reply.Confirmed, reply.Missing)
	})
}
