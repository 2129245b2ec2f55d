package cmds

import (
	"io"
	"slices"

	"github.com/ansel1/merry/v2"
	"github.com/spf13/cobra"

	"plantainwinch/coord/place"
	"plantainwinch/trial"
	"plantainwinch/winch"
)

// trialOptions holds the flags of the trial command.
type trialOptions struct {
	client
	seed       uint64
	patterns   []string
	without    []string
	order      string
	plotFolder string
	each       bool
	fleets     bool
	growth     bool
}

func newTrial() *cobra.Command {
	var o trialOptions
	cmd := &cobra.Command{
		Use:   "trial",
		Short: "Measure the planner's decisions under generated loads",
		Long: "Simulates generated loads against the planner of a region, in simulated time and without a network, and prints for\n" +
			"each queue how many jobs were on time and within three times the objective, how long they took, what they waited\n" +
			"for, and the use of lanes and capacity. --without switches mechanisms off; --each adds runs without each single one.\n" +
			"--order selects the order of waiting work while a service is full.\n" +
			"--fleets compares the planner of a failure domain with first come, first fit; --growth measures the cost of its\n" +
			"decisions at 50 to 1600 workers.",
		Example: "  plantainwinch trial\n  plantainwinch trial --pattern gangs --without Reserve,AskAll --plot plots\n  plantainwinch trial --fleets",
		Args:    cobra.NoArgs,
		RunE:    func(cmd *cobra.Command, _ []string) error { return o.run(cmd) },
	}
	cmd.Flags().Uint64Var(&o.seed, "seed", 1, "seed of the arrivals")
	cmd.Flags().StringSliceVar(&o.patterns, "pattern", nil, "load patterns to simulate; all if none is given")
	cmd.Flags().StringSliceVar(&o.without, "without", nil, "mechanisms to switch off")
	cmd.Flags().StringVar(&o.order, "order", string(winch.DefaultPolicy().Order), "order of waiting work: Slack, LeastWork, Deficit or Mixed")
	cmd.Flags().BoolVar(&o.each, "each", false, "also simulate with each single mechanism switched off")
	cmd.Flags().StringVar(&o.plotFolder, "plot", "", "folder for SVG plots")
	cmd.Flags().BoolVar(&o.fleets, "fleets", false, "measure the planner of a failure domain")
	cmd.Flags().BoolVar(&o.growth, "growth", false, "measure how the cost of its decisions grows with the fleet")
	cmd.Flags().StringVar(&o.Output, "output", "table", "output format: table or json")
	return cmd
}

func (o *trialOptions) run(cmd *cobra.Command) error {
	switch {
	case o.growth:
		return o.printResults(cmd, trial.Growth(o.seed))
	case o.fleets:
		return o.printResults(cmd, compareFleets(o.seed))
	}
	patterns, err := o.selectedPatterns()
	if err != nil {
		return err
	}
	if !slices.Contains(winch.Orders(), winch.Order(o.order)) {
		return merry.Errorf("no order %q: name one of %v", o.order, winch.Orders())
	}
	off := [][]string{o.without}
	if o.each {
		for _, name := range winch.Mechanisms() {
			off = append(off, append(slices.Clone(o.without), name))
		}
	}
	var all []trial.Outcome
	for _, p := range patterns {
		for _, names := range off {
			policy := winch.DefaultPolicy()
			policy.Order = winch.Order(o.order)
			for _, name := range names {
				if policy, err = policy.Without(name); err != nil {
					return err
				}
			}
			out := trial.Play(p, policy, o.seed)
			out.Without, out.Order = names, policy.Order
			all = append(all, out)
		}
	}
	if o.plotFolder != "" {
		if err := trial.Plot(o.plotFolder, all); err != nil {
			return err
		}
	}
	return o.print(cmd, all, func(w io.Writer) { _ = trial.PrintOutcomes(w, all) })
}

// selectedPatterns returns the patterns given with --pattern, or all patterns without it.
func (o *trialOptions) selectedPatterns() ([]trial.Pattern, error) {
	all := trial.Patterns()
	if len(o.patterns) == 0 {
		return all, nil
	}
	var out []trial.Pattern
	for _, name := range o.patterns {
		i := slices.IndexFunc(all, func(p trial.Pattern) bool { return p.Name == name })
		if i < 0 {
			var names []string
			for _, p := range all {
				names = append(names, p.Name)
			}
			return nil, merry.Errorf("no pattern %q: name one of %v", name, names)
		}
		out = append(out, all[i])
	}
	return out, nil
}

// printResults prints the results of the planner of a failure domain.
func (o *trialOptions) printResults(cmd *cobra.Command, all []trial.Result) error {
	return o.print(cmd, all, func(w io.Writer) { _ = trial.Print(w, all) })
}

// compareFleets runs the baseline and both placement preferences on the arrivals of each fleet.
func compareFleets(seed uint64) (out []trial.Result) {
	for _, f := range trial.Fleets() {
		out = append(out,
			trial.Run(f, seed, place.Packing, true), trial.Run(f, seed, place.Packing, false), trial.Run(f, seed, place.Waiting, false))
	}
	return out
}
