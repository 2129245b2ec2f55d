package cmds

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"

	"github.com/ansel1/merry/v2"
	"github.com/spf13/cobra"

	"plantainwinch/trans/front"
)

func newPhased() *cobra.Command {
	c := client{}
	cmd := &cobra.Command{
		Use:     "phased",
		Short:   "Submit, show and cancel jobs with phases at an entry of a region",
		Example: "  plantainwinch phased state jobs 0123456789abcdef",
	}
	cmd.PersistentFlags().StringVar(&c.Address, "jobs", "127.0.0.1:7004", "address of an entry's interface for phased jobs")
	c.addCommonFlags(cmd)
	cmd.AddCommand(newPhasedSubmit(&c), newPhasedJob(&c, "state", "Show a job", http.MethodGet), newPhasedJob(&c, "cancel", "Cancel a job", http.MethodDelete), newPhasedQueue(&c))
	return cmd
}

func newPhasedSubmit(c *client) *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:   "submit QUEUE ID --file FILE",
		Short: "Submit a job",
		Long: "Submit a job. ID is 16 hexadecimal digits that you choose; submitting it again returns the same job.\n" +
			"FILE holds the job as JSON: Command, and Phases with Count, Need and, optionally, After,\n" +
			"Estimate, Gang, SameRack, Label, Rack, MostPerVM, Copies, Lasting, Checkpoints and Fills.",
		Example: "  plantainwinch phased submit jobs 0123456789abcdef --file mix.json",
		Args:    cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			body, err := readPhasedJob(cmd, file)
			if err != nil {
				return err
			}
			return c.phasedRequest(cmd, http.MethodPost, args, body)
		},
	}
	cmd.Flags().StringVar(&file, "file", "-", "file with the job, - for standard input")
	return cmd
}

// readPhasedJob reads a job's JSON from a file or, for "-", standard input. Only a file's JSON is checked here.
func readPhasedJob(cmd *cobra.Command, file string) (json.RawMessage, error) {
	if file == "-" {
		data, err := io.ReadAll(cmd.InOrStdin())
		return data, merry.Wrap(err)
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, merry.Errorf("--file %s: %v", file, err)
	}
	if !json.Valid(data) {
		return nil, merry.Errorf("--file %s: not valid JSON", file)
	}
	return data, nil
}

// newPhasedJob returns a command that sends a request for one job and prints the job's state.
func newPhasedJob(c *client, name, short, method string) *cobra.Command {
	return &cobra.Command{
		Use:     name + " QUEUE ID",
		Short:   short,
		Example: "  plantainwinch phased " + name + " jobs 0123456789abcdef",
		Args:    cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			return c.phasedRequest(cmd, method, args, nil)
		},
	}
}

// phasedRequest sends a request for one job, given as queue and id, and prints the job's state.
func (c *client) phasedRequest(cmd *cobra.Command, method string, args []string, body any) error {
	var state front.PhasedState
	if err := c.do(cmd.Context(), method, "/Queues/"+args[0]+"/Jobs/"+args[1], body, &state); err != nil {
		return err
	}
	return c.print(cmd, state, func(w io.Writer) { fmt.Fprintln(w, state.ID, state.State) })
}

func newPhasedQueue(c *client) *cobra.Command {
	return &cobra.Command{
		Use:     "queue QUEUE",
		Short:   "Show how many jobs of a queue have not started",
		Example: "  plantainwinch phased queue jobs",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var state front.QueueState
			if err := c.do(cmd.Context(), http.MethodGet, "/Queues/"+args[0], nil, &state); err != nil {
				return err
			}
			return c.print(cmd, state, func(w io.Writer) { fmt.Fprintln(w, state.Queue, state.Waiting) })
		},
	}
}
