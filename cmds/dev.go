package cmds

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/spf13/cobra"

	"plantainwinch/cell"
)

// demoTimeout limits the duration of the demo.
const demoTimeout = 50 * time.Second

func newDev() *cobra.Command {
	var demo, verbose bool
	var out string
	cmd := &cobra.Command{
		Use:   "dev",
		Short: "Run a whole cell on loopback in one process",
		Long: "Run a whole cell on loopback in one process: a simulated platform, 3 failure domains with 2 entries each,\n" +
			"50 executors and 50 workers. With --demo, run one sample of every workload and exit.",
		Example: "  plantainwinch dev\n  plantainwinch dev --demo",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			c := &cell.Cell{Size: cell.ProductionSize()}
			if verbose {
				c.Log = newLogger()
			}
			if err := c.Start(); err != nil {
				return err
			}
			defer c.Stop()
			keys, err := c.Configure(cmd.Context())
			if err != nil {
				return err
			}
			if demo {
				ctx, cancel := context.WithTimeout(cmd.Context(), demoTimeout)
				defer cancel()
				return withExitCode(exitRefused, c.Demo(ctx, keys, cmd.OutOrStdout()))
			}
			if err := printAddresses(cmd.OutOrStdout(), out, c, keys); err != nil {
				return err
			}
			<-cmd.Context().Done()
			return nil
		},
	}
	cmd.Flags().BoolVar(&demo, "demo", false, "run one sample of every workload, print the results and exit")
	cmd.Flags().BoolVar(&verbose, "verbose", false, "log state changes to standard error")
	cmd.Flags().StringVar(&out, "out", "", "also write keys and addresses to this file")
	return cmd
}

// printAddresses writes the keys and addresses as shell variable assignments to w and, if path is set, to that file.
func printAddresses(w io.Writer, path string, c *cell.Cell, keys cell.Keys) error {
	var b strings.Builder
	fmt.Fprintf(&b, "OPERATOR_KEY=%s\nOWNER_KEY=%s\nPLATFORM=%s\n", c.OperatorKey, keys.Owner, c.PlatformAddress)
	for i, s := range c.Servers {
		fmt.Fprintf(&b, "CALLERS_%d=%s\nOPERATORS_%d=%s\n", i+1, s.CallersAddress(), i+1, s.OperatorsAddress())
	}
	for i := range len(keys.Teams) {
		fmt.Fprintf(&b, "TEAM_KEY_%d=%s\n", i+1, keys.Teams[cell.TeamName(i)])
	}
	if _, err := io.WriteString(w, b.String()); err != nil {
		return merry.Wrap(err)
	}
	if path == "" {
		return nil
	}
	return merry.Wrap(os.WriteFile(path, []byte(b.String()), 0o600))
}
