package cmds

import (
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/spf13/cobra"

	"plantainwinch/entry"
	"plantainwinch/trans/front"
	"plantainwinch/winch"
)

func newJob() *cobra.Command {
	var c client
	cmd := &cobra.Command{Use: "job", Short: "Submit, show, cancel and list jobs", Example: "  plantainwinch job list"}
	c.addCallerFlags(cmd)
	cmd.AddCommand(newJobSubmit(&c), newJobStatus(&c), newJobCancel(&c), newJobList(&c))
	return cmd
}

func newJobSubmit(c *client) *cobra.Command {
	var body front.JobBody
	kind := string(winch.Batch)
	cmd := &cobra.Command{
		Use:     "submit",
		Short:   "Submit a job",
		Example: "  plantainwinch job submit --id mix-7 --class mix --tasks 4 --processors 2 --memory 4GB --run-time 10m --command \"echo done\"",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			body.Kind = winch.JobKind(kind)
			var job winch.Job
			if err := c.do(cmd.Context(), http.MethodPost, "/Jobs", body, &job); err != nil {
				return err
			}
			return c.print(cmd, job, func(w io.Writer) { fmt.Fprintln(w, job.ID) })
		},
	}
	f := cmd.Flags()
	f.StringVar(&body.RequestID, "id", "", "request id that you choose; submitting it again returns the same job")
	f.StringVar(&body.Class, "class", "", "class of the work")
	f.StringVar(&kind, "kind", kind, "kind of the job: Batch, Gang or Service")
	f.IntVar(&body.Tasks, "tasks", 1, "number of tasks")
	f.IntVar(&body.Need.Processors, "processors", 1, "processors of each task")
	f.StringVar(&body.Need.Memory, "memory", "1GB", "memory of each task")
	f.IntVar(&body.Need.Accelerators, "accelerators", 0, "accelerators of each task")
	f.StringVar(&body.RunTime, "run-time", "", "expected run time of a task")
	f.StringVar(&body.Command, "command", "", "command that each task runs")
	_ = cmd.MarkFlagRequired("id")
	_ = cmd.MarkFlagRequired("class")
	return cmd
}

func newJobStatus(c *client) *cobra.Command {
	var wait time.Duration
	cmd := &cobra.Command{
		Use:     "status ID",
		Short:   "Show a job and what it waits for",
		Example: "  plantainwinch job status J0123456789abcdef0123 --wait 30s",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var view entry.JobView
			path := "/Jobs/" + args[0] + "?Wait=" + url.QueryEscape(wait.String())
			if err := c.do(cmd.Context(), http.MethodGet, path, nil, &view); err != nil {
				return err
			}
			return c.print(cmd, view, func(w io.Writer) { printJob(w, view) })
		},
	}
	cmd.Flags().DurationVar(&wait, "wait", 0, "wait up to this long for the job to end")
	return cmd
}

func printJob(w io.Writer, v entry.JobView) {
	printRow(w, "Job", v.ID)
	printRow(w, "State", v.State)
	printRow(w, "Tasks", fmt.Sprintf("%d of %d ended, %d running", len(v.EndedTasks), v.Spec.Tasks, v.Running))
	printRow(w, "Domain", v.Domain)
	if v.Why != "" {
		printRow(w, "Why", v.Why)
	}
	if v.Forecast > 0 {
		printRow(w, "Forecast", "starts in about "+v.Forecast.Round(time.Second).String())
	}
	if v.Reason != "" {
		printRow(w, "Reason", string(v.Reason)+": "+v.Detail)
	}
	for _, out := range v.Output {
		printRow(w, "Output", out)
	}
}

func newJobCancel(c *client) *cobra.Command {
	return &cobra.Command{
		Use:     "cancel ID",
		Short:   "Cancel a job, or show its result if it has already ended",
		Example: "  plantainwinch job cancel J0123456789abcdef0123",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var view entry.JobView
			if err := c.do(cmd.Context(), http.MethodDelete, "/Jobs/"+args[0], nil, &view); err != nil {
				return err
			}
			return c.print(cmd, view, func(w io.Writer) { printJob(w, view) })
		},
	}
}

func newJobList(c *client) *cobra.Command {
	return &cobra.Command{
		Use:     "list",
		Short:   "List the team's jobs",
		Example: "  plantainwinch job list",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var jobs []winch.Job
			if err := c.do(cmd.Context(), http.MethodGet, "/Jobs", nil, &jobs); err != nil {
				return err
			}
			return c.print(cmd, jobs, func(w io.Writer) {
				printRow(w, "JOB", "REQUEST", "CLASS", "KIND", "STATE", "DOMAIN")
				for _, j := range jobs {
					printRow(w, j.ID, j.RequestID, j.Class, j.Spec.Kind, j.State, j.Domain)
				}
			})
		},
	}
}
