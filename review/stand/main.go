// Command stand plays a case of the review: it runs a store and workers in this process, starts entries as
// processes of their own with the command of the deploy file, and judges what callers and workers observe.
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld     = 0
	exitBroken   = 1
	exitNoResult = 2
)

// caseTimeout bounds a case, so that run.sh ends within 120 seconds.
const caseTimeout = 110 * time.Second

func main() {
	name := flag.String("case", "", "route or crashes")
	program := flag.String("program", "target/plantainwinch", "the program under test")
	template := flag.String("template", "deploy/entry.ini", "the template of its settings")
	record := flag.String("record", "record.txt", "the file that the record is written to")
	trouble := flag.Bool("trouble", true, "play the disruption")
	flag.Parse()
	cases := map[string]func(context.Context, *site, bool) (int, error){"route": removedRoute, "crashes": innocentCrashes}
	play := cases[*name]
	if play == nil {
		fmt.Fprintln(os.Stderr, "no such case:", *name)
		os.Exit(exitNoResult)
	}
	os.Exit(run(play, *program, *template, *record, *trouble))
}

func run(play func(context.Context, *site, bool) (int, error), program, template, record string, trouble bool) int {
	file, err := os.Create(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNoResult
	}
	defer func() { _ = file.Close() }()
	signalled, release := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer release()
	ctx, cancel := context.WithTimeout(signalled, caseTimeout)
	defer cancel()
	s := &site{program: program, template: template, out: file, began: time.Now()}
	defer s.stop()
	code := exitNoResult
	if err = s.start(ctx); err == nil {
		code, err = play(ctx, s, trouble)
	}
	if err != nil {
		s.log("the case could not run: %v", err)
		code = exitNoResult
	}
	s.log("exit code %d", code)
	return code
}
