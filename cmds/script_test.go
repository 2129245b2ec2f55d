package cmds

import (
	"os"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"plantainwinch/cell"
)

// TestMain lets the scripts and the process tests run the test binary as the program.
func TestMain(m *testing.M) {
	if os.Getenv(asProgramEnv) != "" {
		os.Exit(Execute(os.Args[1:]))
	}
	testscript.Main(m, map[string]func(){
		"plantainwinch": func() { os.Exit(Execute(os.Args[1:])) },
	})
}

// TestScripts runs the scripts in testscripts: commands as operators and callers enter them. Each script has a small
// running cell, whose addresses and operator key are in the script's environment.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "../testscripts",
		RequireExplicitExec: true,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"setkey": setKey, "setid": setID, "withdraw": withdraw, "busy": busySettings,
		},
		Setup: func(env *testscript.Env) error {
			c := &cell.Cell{Size: cell.SmallSize()}
			if err := c.Start(); err != nil {
				return err
			}
			env.Defer(c.Stop)
			env.Setenv("WINCH_KEY", c.OperatorKey)
			env.Setenv("OPERATORS", c.Servers[0].OperatorsAddress())
			env.Setenv("CALLERS", c.Servers[0].CallersAddress())
			env.Setenv("OTHER", c.Servers[1].CallersAddress())
			env.Setenv("PLATFORM", c.PlatformAddress)
			return nil
		},
	})
}

// setKey sets WINCH_KEY, for the commands that follow, to the key that a command printed to a file.
func setKey(ts *testscript.TestScript, _ bool, args []string) {
	ts.Setenv("WINCH_KEY", strings.TrimSpace(ts.ReadFile(args[0])))
}

// setID sets ID to the job id that a command printed to a file.
func setID(ts *testscript.TestScript, _ bool, args []string) {
	ts.Setenv("ID", strings.TrimSpace(ts.ReadFile(args[0])))
}

// withdraw withdraws the key in a file and checks that both entries refuse it at once.
func withdraw(ts *testscript.TestScript, _ bool, args []string) {
	key := strings.TrimSpace(ts.ReadFile(args[0]))
	ts.Check(ts.Exec("plantainwinch", "key", "withdraw", key, "--operators", ts.Getenv("OPERATORS")))
	ts.Setenv("WINCH_KEY", key)
	for _, at := range []string{"CALLERS", "OTHER"} {
		if ts.Exec("plantainwinch", "call", "render", "--class", "preview", "--callers", ts.Getenv(at)) == nil {
			ts.Fatalf("the key still works at %s", at)
		}
	}
}

// busySettings writes settings with an address of the callers' interface that is already in use.
func busySettings(ts *testscript.TestScript, _ bool, args []string) {
	text := strings.ReplaceAll(ts.ReadFile("busy.in"), "CALLERS", ts.Getenv("CALLERS"))
	ts.Check(os.WriteFile(ts.MkAbs(args[0]), []byte(text), 0o600))
}
