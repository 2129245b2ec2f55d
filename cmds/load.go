package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"runtime/pprof"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/spf13/cobra"

	"plantainwinch/cell"
	"plantainwinch/load"
)

// loadFlags are the flags of the load command.
type loadFlags struct {
	cellFile, output, reportFile, profileFile string
	compare                                   bool
	rounds                                    int
	run                                       load.Run
}

// maxDuration and maxRate are the largest values that --duration and --rate accept.
const (
	maxDuration = 10 * time.Minute
	maxRate     = 20000
)

func newLoad() *cobra.Command {
	var f loadFlags
	f.run.Mix = load.DefaultMix()
	cmd := &cobra.Command{
		Use:   "load",
		Short: "Put a bounded load on a cell and count violated guarantees",
		Long: "Put a bounded load on a cell and count violated guarantees (listed as BROKEN PROMISE). Without --cell, start\n" +
			"a separate cell on loopback, as the dev command does. With --compare, compare the speed of calls through\n" +
			"entries with that of direct calls.",
		Example: "  plantainwinch load --rate 300 --duration 20s\n  plantainwinch load --outage 10s --duration 30s\n  plantainwinch load --compare --duration 2s",
		Args:    cobra.NoArgs,
		RunE:    func(cmd *cobra.Command, _ []string) error { return f.do(cmd) },
	}
	fs := cmd.Flags()
	fs.StringVar(&f.cellFile, "cell", "", "file written by dev --out; if empty, a separate cell is started")
	fs.StringVar(&f.output, "output", "table", "output format: table or json")
	fs.StringVar(&f.reportFile, "out", "", "also write the report as JSON to this file")
	fs.StringVar(&f.profileFile, "profile", "", "write a CPU profile of this process to this file")
	fs.BoolVar(&f.compare, "compare", false, "compare direct calls with calls through one entry and with calls over one hop between entries")
	fs.IntVar(&f.rounds, "rounds", 3, "number of rounds of --compare")
	fs.Float64Var(&f.run.Rate, "rate", 300, "arrivals per second over all entries")
	fs.DurationVar(&f.run.Duration, "duration", 10*time.Second, "length of the run, or of one phase of --compare")
	fs.DurationVar(&f.run.Work, "work", 20*time.Millisecond, "mean run time of a call")
	fs.DurationVar(&f.run.Outage, "outage", 0, "take the store down for this long in the middle of the run")
	fs.IntVar(&f.run.Body, "body", 256, "size of a call's body in bytes")
	fs.Uint64Var(&f.run.Seed, "seed", 1, "seed of the arrivals")
	return cmd
}

func (f *loadFlags) check() error {
	switch {
	case f.output != "table" && f.output != "json":
		return merry.Errorf("--output %s: write table or json", f.output)
	case f.run.Duration <= 0 || f.run.Duration > maxDuration:
		return merry.Errorf("--duration %s: write a time above zero, up to %s", f.run.Duration, maxDuration)
	case f.run.Rate <= 0 || f.run.Rate > maxRate:
		return merry.Errorf("--rate %g: write a number above zero, up to %d", f.run.Rate, maxRate)
	case f.run.Outage < 0 || f.run.Outage >= f.run.Duration:
		return merry.Errorf("--outage %s: write a time that is not negative and shorter than --duration", f.run.Outage)
	case f.compare && f.cellFile != "":
		return merry.New("--compare starts a separate cell: leave --cell out")
	}
	return nil
}

func (f *loadFlags) do(cmd *cobra.Command) error {
	if err := f.check(); err != nil {
		return err
	}
	target, stop, err := f.openTarget(cmd.Context())
	if err != nil {
		return err
	}
	defer stop()
	if f.profileFile != "" {
		file, err := os.Create(f.profileFile)
		if err != nil {
			return merry.Prepend(err, "--profile")
		}
		defer file.Close()
		if err := pprof.StartCPUProfile(file); err != nil {
			return merry.Wrap(err)
		}
		defer pprof.StopCPUProfile()
	}
	if f.compare {
		return f.doCompare(cmd, target)
	}
	f.run.Target = target
	report, err := f.run.Do(cmd.Context())
	if err != nil {
		return err
	}
	if err := f.write(cmd.OutOrStdout(), report, report.Print); err != nil {
		return err
	}
	if n := report.Broken.Sum(); n > 0 {
		return withExitCode(exitRefused, merry.Errorf("%d guarantees were violated", n))
	}
	return nil
}

func (f *loadFlags) doCompare(cmd *cobra.Command, target *load.Target) error {
	speeds, err := load.Compare(cmd.Context(), target, f.run.Duration, f.rounds)
	if err != nil {
		return err
	}
	return f.write(cmd.OutOrStdout(), speeds, func(w io.Writer) error { return load.PrintRoutes(w, speeds) })
}

// openTarget returns the cell to load and a function that stops it if it was started here.
func (f *loadFlags) openTarget(ctx context.Context) (*load.Target, func(), error) {
	if f.cellFile != "" {
		t, err := load.ReadTarget(f.cellFile)
		return t, func() {}, err
	}
	c := &cell.Cell{Size: cell.ProductionSize()}
	if f.compare {
		c.Size = load.CompareCellSize()
	}
	if err := c.Start(); err != nil {
		return nil, nil, err
	}
	keys, err := c.Configure(ctx)
	if err != nil {
		c.Stop()
		return nil, nil, err
	}
	return load.NewTarget(c, keys), c.Stop, nil
}

// write prints a result, and also writes it as JSON to the file named with --out.
func (f *loadFlags) write(w io.Writer, v any, table func(io.Writer) error) error {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return merry.Wrap(err)
	}
	if f.reportFile != "" {
		if err := os.WriteFile(f.reportFile, data, 0o600); err != nil {
			return merry.Prepend(err, "--out")
		}
	}
	if f.output == "json" {
		_, err := fmt.Fprintln(w, string(data))
		return merry.Wrap(err)
	}
	return table(w)
}
