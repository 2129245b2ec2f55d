package cmds

import (
	"fmt"
	"os"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/spf13/cobra"

	"plantainwinch/soak"
)

func newSoak() *cobra.Command {
	var o soak.Options
	seeds := 1
	cmd := &cobra.Command{
		Use:   "soak",
		Short: "Test a region of real processes under faults",
		Long: "Start entries as separate processes against a simulated platform on loopback, inject faults chosen\n" +
			"by a seed and check what callers and workers observe. For a seed that shows a violated guarantee,\n" +
			"print the command that runs it again, and keep its settings, logs and list of faults.",
		Example: "  plantainwinch soak --seed 7 --time 20s",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			program, err := os.Executable()
			if err != nil {
				return merry.Wrap(err)
			}
			if len(o.Programs) == 0 {
				o.Programs = []string{program}
			}
			failed := 0
			first := o.Seed
			for i := range seeds {
				o.Seed = first + uint64(i)
				ok, err := soakOnce(cmd, o)
				if err != nil {
					return err
				}
				if !ok {
					failed++
				}
			}
			cmd.Printf("%d passed, %d failed\n", seeds-failed, failed)
			if failed > 0 {
				return merry.New("a guarantee was violated")
			}
			return nil
		},
	}
	cmd.Flags().Uint64Var(&o.Seed, "seed", 1, "first seed")
	cmd.Flags().IntVar(&seeds, "seeds", 1, "number of seeds to run, one after the other")
	cmd.Flags().StringArrayVar(&o.Programs, "program", nil, "executable that the entries run, by default this one; if given several times, the entries run them in turn")
	cmd.Flags().DurationVar(&o.Duration, "time", 20*time.Second, "how long faults are injected for each seed")
	cmd.Flags().IntVar(&o.Domains, "domains", 3, "number of failure domains")
	cmd.Flags().IntVar(&o.Entries, "entries", 2, "number of entries in each failure domain")
	cmd.Flags().IntVar(&o.Workers, "workers", 4, "number of workers in each failure domain")
	cmd.Flags().IntVar(&o.Callers, "callers", 4, "number of callers")
	cmd.Flags().BoolVar(&o.Returns, "returns", true, "workers return under their IDs and are cut off; without it, a seed is what it was before")
	cmd.Flags().BoolVar(&o.Steady, "steady", false, "no faults: entries are stopped as planned in series, and no accepted job may stand still")
	cmd.Flags().BoolVar(&o.Pauses, "pauses", false, "with --steady, all entries are paused at once for moments, as on a busy machine")
	cmd.Flags().IntVar(&o.Lasting, "lasting", 0, "number of lasting tasks of every second caller's jobs; zero means a few")
	return cmd
}

// soakOnce runs one seed and reports whether all guarantees held. It keeps the run's folder if not.
func soakOnce(cmd *cobra.Command, o soak.Options) (bool, error) {
	dir, err := os.MkdirTemp("", "winch-soak")
	if err != nil {
		return false, merry.Wrap(err)
	}
	o.Dir = dir
	s := soak.Soak{Options: o}
	report, err := s.Run(cmd.Context())
	if err != nil {
		return false, err
	}
	cmd.Printf("seed %d: %d accepted, %d done, %d cancelled, %d refused, %d lasted, %d given up for %d workers, %d resumed, %d starts, %d of them copies, %d faults, %d requests on open connections, %d of them cut off, %d problems\n",
		o.Seed, report.Accepted, report.Done, report.Cancelled, report.Refused, report.Lasting, report.GivenUp, report.Crashed, report.Resumed, report.Starts, report.Copies, report.Faults, report.Requests, report.Cut, len(report.Problems))
	if len(report.Problems) == 0 {
		return true, os.RemoveAll(dir)
	}
	flags := ""
	for _, p := range o.Programs {
		flags += " --program " + p
	}
	if !o.Returns {
		flags += " --returns=false"
	}
	if o.Steady {
		flags += " --steady"
	}
	if o.Pauses {
		flags += " --pauses"
	}
	if o.Lasting > 0 {
		flags += fmt.Sprintf(" --lasting %d", o.Lasting)
	}
	for _, p := range report.Problems {
		cmd.Println("  " + p)
	}
	cmd.Println(fmt.Sprintf("  logs in %s; to run it again: plantainwinch soak --seed %d --time %v --domains %d --entries %d --workers %d --callers %d%s",
		dir, o.Seed, o.Duration, o.Domains, o.Entries, o.Workers, o.Callers, flags))
	return false, nil
}
