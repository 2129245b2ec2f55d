package cmds

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"text/tabwriter"

	"github.com/ansel1/merry/v2"
	"github.com/spf13/cobra"

	"plantainwinch/trans/front"
	"plantainwinch/winch"
)

// client sends requests to one HTTP interface of an entry and prints the responses.
type client struct {
	Address string
	Key     string
	Output  string
}

// keyEnv is the environment variable that holds the key if --key is not given.
const keyEnv = "WINCH_KEY"

// addCallerFlags adds the flags of commands that use the callers' interface.
func (c *client) addCallerFlags(cmd *cobra.Command) {
	cmd.PersistentFlags().StringVar(&c.Address, "callers", "127.0.0.1:7001", "address of an entry's callers' interface")
	c.addCommonFlags(cmd)
}

// addOperatorFlags adds the flags of commands that use the operators' interface.
func (c *client) addOperatorFlags(cmd *cobra.Command) {
	cmd.PersistentFlags().StringVar(&c.Address, "operators", "127.0.0.1:7002", "address of an entry's operators' interface")
	c.addCommonFlags(cmd)
}

func (c *client) addCommonFlags(cmd *cobra.Command) {
	cmd.PersistentFlags().StringVar(&c.Key, "key", "", "key that authorizes the request; taken from the environment variable "+keyEnv+" if not given")
	cmd.PersistentFlags().StringVar(&c.Output, "output", "table", "output format: table or json")
}

// do sends a request with body as JSON and decodes the response into out. An error response becomes an error with
// the exit code of its outcome.
func (c *client) do(ctx context.Context, method, path string, body, out any) error {
	if c.Output != "table" && c.Output != "json" {
		return merry.Errorf("--output %s: write table or json", c.Output)
	}
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return merry.Wrap(err)
		}
		reader = bytes.NewReader(data)
	}
	resp, err := c.send(ctx, method, path, nil, reader)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusBadRequest {
		return responseError(resp)
	}
	return merry.Wrap(json.NewDecoder(resp.Body).Decode(out))
}

// send sends a request with the key. A failure to send leaves the outcome unknown, as the entry may have received the
// request.
func (c *client) send(ctx context.Context, method, path string, header http.Header, body io.Reader) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.Address+path, body)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	for name, values := range header {
		req.Header[name] = values
	}
	key := c.Key
	if key == "" {
		key = os.Getenv(keyEnv)
	}
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, withExitCode(exitUnknown, merry.Prepend(err, "the entry cannot be reached, or the connection was lost"))
	}
	return resp, nil
}

// responseError returns the error that an error response describes.
func responseError(resp *http.Response) error {
	var body front.ErrorBody
	if json.NewDecoder(resp.Body).Decode(&body) != nil || body.Outcome == "" {
		return withExitCode(exitUnknown, merry.Errorf("unexpected response %s", resp.Status))
	}
	err := merry.Errorf("%s, %s: %s", body.Outcome, body.Reason, body.Detail)
	if body.RetryAfter != "" {
		err = merry.Errorf("%v (retry after %s)", err, body.RetryAfter)
	}
	if body.Outcome == winch.Unknown {
		return withExitCode(exitUnknown, err)
	}
	return withExitCode(exitRefused, err)
}

// print writes v as JSON or, for table output, calls table with a writer that aligns columns.
func (c *client) print(cmd *cobra.Command, v any, table func(w io.Writer)) error {
	if c.Output == "json" {
		e := json.NewEncoder(cmd.OutOrStdout())
		e.SetIndent("", "  ")
		return merry.Wrap(e.Encode(v))
	}
	w := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 4, 2, ' ', 0)
	table(w)
	return merry.Wrap(w.Flush())
}

// printRow writes one row of a table.
func printRow(w io.Writer, cells ...any) {
	for i, c := range cells {
		if i > 0 {
			fmt.Fprint(w, "\t")
		}
		fmt.Fprint(w, c)
	}
	fmt.Fprintln(w)
}
