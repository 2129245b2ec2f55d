package cmds

import (
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/spf13/cobra"

	"plantainwinch/entry"
)

// domainsPath is the path of the failure domains in the operators' interface.
const domainsPath = "/Operator/Domains"

func newDomain() *cobra.Command {
	var c client
	cmd := &cobra.Command{
		Use: "domain", Short: "List, evacuate and restore failure domains", Example: "  plantainwinch domain list",
	}
	c.addOperatorFlags(cmd)
	cmd.AddCommand(
		newDomainList(&c),
		newDomainChange(&c, "evacuate", http.MethodPut, "Give no new work to a failure domain", `Give no new work to the executors and workers of a failure domain until it is restored.

Calls and jobs go to the other domains. What runs there goes on, and jobs that already wait there
wait until the domain is restored; job status says so.`),
		newDomainChange(&c, "restore", http.MethodDelete, "End the evacuation of a failure domain", "End the evacuation of a failure domain: it gets new work again."),
	)
	return cmd
}

func newDomainList(c *client) *cobra.Command {
	return &cobra.Command{
		Use:     "list",
		Short:   "List the failure domains: state, since when, and what still runs there",
		Example: "  plantainwinch domain list --output json",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			list, err := c.fetchDomains(cmd)
			if err != nil {
				return err
			}
			return c.print(cmd, list, func(w io.Writer) { printDomains(w, list) })
		},
	}
}

func (c *client) fetchDomains(cmd *cobra.Command) (list []entry.DomainInfo, err error) {
	return list, c.do(cmd.Context(), http.MethodGet, domainsPath, nil, &list)
}

func printDomains(w io.Writer, list []entry.DomainInfo) {
	printRow(w, "DOMAIN", "STATE", "SINCE", "ENTRIES", "WORKERS", "EXECUTORS", "TASKS", "CALLS", "WAITING")
	for _, d := range list {
		since := "-"
		if !d.Since.IsZero() {
			since = d.Since.Format(time.RFC3339)
		}
		printRow(w, d.Name, d.State, since, d.Entries, d.Workers, d.Executors, d.Tasks, d.Calls, d.Waiting)
	}
}

// newDomainChange returns a command that evacuates or restores a failure domain.
func newDomainChange(c *client, name, method, short, long string) *cobra.Command {
	return &cobra.Command{
		Use:     name + " NAME",
		Short:   short,
		Long:    long,
		Example: "  plantainwinch domain " + name + " d1",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var reply entry.Applied
			if err := c.do(cmd.Context(), method, domainsPath+"/"+url.PathEscape(args[0])+"/Evacuated", nil, &reply); err != nil {
				return err
			}
			return c.printAppliedReply(cmd, reply)
		},
		ValidArgsFunction: func(cmd *cobra.Command, args []string, _ string) ([]string, cobra.ShellCompDirective) {
			if len(args) > 0 {
				return nil, cobra.ShellCompDirectiveNoFileComp
			}
			list, err := c.fetchDomains(cmd)
			if err != nil {
				return nil, cobra.ShellCompDirectiveError
			}
			var names []string
			for _, d := range list {
				names = append(names, d.Name)
			}
			return names, cobra.ShellCompDirectiveNoFileComp
		},
	}
}
