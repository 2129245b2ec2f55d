// Package cmds implements the program's sub-commands, one file per command or group of commands.
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

// Exit codes of the program.
const (
	exitDone    = 0 // The command succeeded.
	exitRefused = 1 // The request was refused or failed, or a check found violations.
	exitUsage   = 2 // The arguments or a file are invalid. Also used for errors without an exit code of their own.
	exitUnknown = 3 // The outcome is unknown: the request may or may not have taken effect.
)

// exitError is an error that sets the exit code of the program.
type exitError struct {
	code int
	err  error
}

// Error implements error.
func (c *exitError) Error() string { return c.err.Error() }

// Unwrap returns the wrapped error for errors.Is and errors.As.
func (c *exitError) Unwrap() error { return c.err }

// withExitCode attaches an exit code to err. It returns nil if err is nil.
func withExitCode(code int, err error) error {
	if err == nil {
		return nil
	}
	return &exitError{code: code, err: err}
}

// Execute runs the command given by args and returns the exit code. SIGINT and SIGTERM cancel the command's context.
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
	var coded *exitError
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
		newServe(), newStand(), newDev(), newApply(), newCheck(), newTeam(), newClass(), newService(), newDomain(), newKey(),
		newCall(), newJob(), newStatus(), newAudit(), newLoad(), newTrial(), newSoak(), newPhased(), newExplain(),
	)
	return root
}

// newLogger returns a logger that writes readable lines to standard error, or a no-op logger if it cannot be built.
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
