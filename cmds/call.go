package cmds

import (
	"io"
	"net/http"
	"os"

	"github.com/ansel1/merry/v2"
	"github.com/spf13/cobra"

	"plantainwinch/trans/front"
)

func newCall() *cobra.Command {
	var c client
	var class, id, deadline, file string
	cmd := &cobra.Command{
		Use:     "call SERVICE",
		Short:   "Call a service and write its response to standard output",
		Example: "  plantainwinch call render --class preview --file score.xml --deadline 5s",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			body, err := openBody(cmd, file)
			if err != nil {
				return err
			}
			header := make(http.Header)
			for name, value := range map[string]string{front.ClassHeader: class, front.RequestIDHeader: id, front.DeadlineHeader: deadline} {
				if value != "" {
					header.Set(name, value)
				}
			}
			resp, err := c.send(cmd.Context(), http.MethodPost, "/Call/"+args[0], header, body)
			if err != nil {
				return err
			}
			defer resp.Body.Close()
			return copyResponse(cmd, resp)
		},
	}
	c.addCallerFlags(cmd)
	f := cmd.Flags()
	f.StringVar(&class, "class", "", "class of the work")
	f.StringVar(&id, "id", "", "request id; required if the class is not repeatable")
	f.StringVar(&deadline, "deadline", "", "duration or time after which the response is no longer needed")
	f.StringVar(&file, "file", "", "file with the request body, - for standard input")
	_ = cmd.MarkFlagRequired("class")
	return cmd
}

// openBody returns a reader of the request body: nil without a file, standard input for "-".
func openBody(cmd *cobra.Command, file string) (io.Reader, error) {
	switch file {
	case "":
		return nil, nil
	case "-":
		return cmd.InOrStdin(), nil
	}
	f, err := os.Open(file)
	if err != nil {
		return nil, merry.Errorf("--file: %v", err)
	}
	return f, nil
}

// copyResponse writes the response to standard output. A response of an executor counts as done, whatever its status.
// A response with a reason comes from the cell and reports why the call has another outcome.
func copyResponse(cmd *cobra.Command, resp *http.Response) error {
	if outcome := resp.Header.Get(front.OutcomeHeader); outcome != "" && resp.Header.Get(front.ReasonHeader) != "" {
		return responseError(resp)
	}
	if _, err := io.Copy(cmd.OutOrStdout(), resp.Body); err != nil {
		return withExitCode(exitUnknown, merry.Prepend(err, "response truncated"))
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return withExitCode(exitRefused, merry.Errorf("the executor responded with %s", resp.Status))
	}
	return nil
}
