package cmds

import (
	"io"
	"os"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/spf13/cobra"

	"plantainwinch/cause"
)

func newExplain() *cobra.Command {
	var c client
	reader := cause.Reader{}
	cmd := &cobra.Command{
		Use:   "explain [LOG...]",
		Short: "Show from logs which jobs were late or not accepted, when and why",
		Long: "Reads the logs of a region's entries from files or standard input. Prints, for each queue and for each time\n" +
			"interval, how many jobs were on time, late (up to three times the objective) and missed, and what delayed the\n" +
			"jobs that were not on time: for each reason the number of jobs whose longest wait it was, and its total time.\n" +
			"The time lost because a run's worker is slower than usual counts as a wait: ran on a slower worker.",
		Example: "  plantainwinch explain entry-1.log entry-2.log\n  cat *.log | plantainwinch explain --every 2s --output json",
		RunE: func(cmd *cobra.Command, args []string) error {
			if reader.Interval <= 0 {
				return merry.Errorf("--every %s: name a time above zero, such as 5s", reader.Interval)
			}
			if len(args) == 0 {
				if err := reader.Read(cmd.InOrStdin()); err != nil {
					return err
				}
			}
			for _, name := range args {
				if err := readFile(&reader, name); err != nil {
					return err
				}
			}
			report := reader.Report()
			return c.print(cmd, report, func(w io.Writer) { _ = cause.Print(w, report) })
		},
	}
	cmd.Flags().DurationVar(&reader.Interval, "every", 5*time.Second, "length of the time intervals of the report")
	cmd.Flags().StringVar(&c.Output, "output", "table", "output format: table or json")
	return cmd
}

func readFile(reader *cause.Reader, name string) error {
	f, err := os.Open(name)
	if err != nil {
		return merry.Prepend(err, "log cannot be opened")
	}
	defer f.Close()
	return merry.Prepend(reader.Read(f), name)
}
