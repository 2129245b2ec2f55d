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
		Short: "Tell from logs which jobs were late or not accepted, when and why",
		Long: "Reads logs of a region's entries, from files or standard input, and prints by queue and by moment how many jobs\n" +
			"were on time, late (up to three objectives) and missed, and what the time of those that were not on time went\n" +
			"into: for each reason the number of jobs of which it is the longest wait, and its time over all.",
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
	cmd.Flags().DurationVar(&reader.Interval, "every", 5*time.Second, "length of a moment")
	cmd.Flags().StringVar(&c.Output, "output", "table", "table or json")
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
