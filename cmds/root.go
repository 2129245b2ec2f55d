// Package cmds holds the commands of the program, one file a command.
package cmds

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Exit codes.
const (
	exitDone    = 0
	exitRefused = 1
	exitUsage   = 2
	exitUnknown = 3
)

// codeError is an error with an exit code of its own.
type codeError struct {
	code int
	err  error
}

// Error implements error.
func (c *codeError) Error() string { return c.err.Error() }

// Unwrap returns the wrapped error.
func (c *codeError) Unwrap() error { return c.err }

func withCode(code int, err error) error {
	if err == nil {
		return nil
	}
	return &codeError{code: code, err: err}
}

// Execute runs the command that the arguments name and returns the exit code.
func Execute(args []string) int {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	root := newRoot()
	root.SetArgs(args)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return exitDone
	}
	fmt.Fprintln(os.Stderr, "Error:", err)
	var coded *codeError
	if errors.As(err, &coded) {
		return coded.code
	}
	return exitUsage
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:           "plantainwinch",
		Short:         "A cluster scheduler for services, batch and gang jobs",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(
		newServe(), newStand(), newDev(), newApply(), newCheck(), newTeam(), newClass(), newService(), newKey(),
		newCall(), newJob(), newStatus(), newAudit(), newLoad(), newTrial(), newSoak(), newPhased(), newExplain(),
	)
	return root
}

// newLogger returns a logger to standard error.
func newLogger() *zap.Logger {
	c := zap.NewProductionConfig()
	c.Encoding = "console"
	c.EncoderConfig.EncodeTime = zapcore.ISO8601TimeEncoder
	c.DisableStacktrace = true
	log, err := c.Build()
	if err != nil {
		return zap.NewNop()
	}
	return log
}
