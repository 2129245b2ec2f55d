package region

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"

	"plantainwinch/proto"
	"plantainwinch/winch"
)

// Guards against a keeper's report about thousands of runs that is handled in one step, during which the planner is taken
// for lost, and against one that loses something when it is handled in parts.
func TestLargeReportIsHandledInParts(t *testing.T) {
	is := is.New(t)
	var report []proto.KeeperEvent
	for i := range 8 {
		e := proto.KeeperEvent{Kind: proto.EventStatus, Worker: fmt.Sprint("w", i)}
		for run := range 700 * i {
			e.Running = append(e.Running, winch.Running{Run: uint64(run)})
		}
		report = append(report, e)
		e = proto.KeeperEvent{Kind: proto.EventEnded, Worker: fmt.Sprint("w", i), Token: 7}
		for number := range 500 {
			e.Ended = append(e.Ended, winch.Completion{Number: uint64(number)})
		}
		report = append(report, e, proto.KeeperEvent{Kind: proto.EventUnresponsive, Worker: fmt.Sprint("w", i)})
	}
	list := proto.KeeperEvent{Kind: proto.EventListed, Worker: "w9", Running: make([]winch.Running, 5000)}
	report = append(report, list)

	var joined []proto.KeeperEvent
	for part := range splitEvents(report, 1000) {
		size := 0
		for _, e := range part {
			if e.Kind == proto.EventListed {
				is.Equal(len(e.Running), 5000) // a list that says what runs at a worker is complete
				continue
			}
			size += 1 + len(e.Running) + len(e.Ended)
		}
		is.True(size <= 1000+1)
		for _, e := range part {
			if last := len(joined) - 1; last >= 0 && joined[last].Kind == e.Kind && joined[last].Worker == e.Worker {
				joined[last].Running = append(joined[last].Running, e.Running...)
				joined[last].Ended = append(joined[last].Ended, e.Ended...)
				continue
			}
			e.Running, e.Ended = slices.Clone(e.Running), slices.Clone(e.Ended)
			joined = append(joined, e)
		}
	}
	is.Equal(len(joined), len(report))
	for i := range report {
		is.Equal(joined[i].Kind, report[i].Kind)
		is.Equal(joined[i].Token, report[i].Token)
		is.True(slices.EqualFunc(joined[i].Running, report[i].Running, func(a, b winch.Running) bool { return a.Run == b.Run }))
		is.True(slices.EqualFunc(joined[i].Ended, report[i].Ended, func(a, b winch.Completion) bool { return a.Number == b.Number }))
	}
}

// Guards against a message to the standby that names so many ended runs that no other can be sent for long, and against a
// run that is removed from the copy after it was started again under its number.
func TestEndsOfManyRunsAreMirroredInParts(t *testing.T) {
	is := is.New(t)
	run := func(i int) proto.MirrorRun { return proto.MirrorRun{Worker: "w", Run: uint64(i)} }
	var removed removals
	for i := range 3*maxMirrored + 10 {
		removed.add(run(i))
	}
	again := run(2 * maxMirrored)
	first := removed.take([]proto.MirrorRun{again})
	is.Equal(len(first), maxMirrored)
	is.True(slices.Contains(first, again))
	total := len(first)
	for messages := 1; ; messages++ {
		next := removed.take(nil)
		if len(next) == 0 {
			break
		}
		is.True(messages < 4)
		is.True(len(next) <= maxMirrored)
		is.True(!slices.Contains(next, again))
		total += len(next)
	}
	is.Equal(total, 3*maxMirrored+10)
}
