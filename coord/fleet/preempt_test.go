package fleet

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"plantainwinch/winch"
)

// slackQueue is a queue whose jobs have much time to spare.
func slackQueue() winch.Queue {
	q := usualQueue()
	q.Name, q.Stretch = "slack", 8
	return q
}

// occupied returns a cell whose two workers are full of tasks of one accelerator, and
// a gang that needs all eight of one.
func occupied(t *testing.T, saves bool, queue string) (*cell, winch.Phase) {
	c := accelerated(t, 2, usualQueue(), slackQueue())
	small := accelerators(16, 1, 10*time.Second)
	small.Checkpoints = saves
	c.add("small", queue, "choir", small)
	c.step()
	gang := accelerators(1, 8, time.Second)
	gang.Gang = true
	return c, gang
}

// A gang that is nearly late waits for the last of many tasks that could stop without
// a loss and have much more time.
func TestGangIsStartedInsteadOfWorkWithTimeToSpare(t *testing.T) {
	for _, on := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			c, gang := occupied(t, true, "slack")
			c.planner.Policy.Preempt = on
			time.Sleep(time.Second)
			c.add("g", "mix", "choir", gang)
			took := c.playUntil(20*time.Second, func(time.Duration) {}, c.begun("g"))
			is.Equal(took < time.Second, on)
			if on {
				is.Equal(c.planner.Counts().Preempted, int64(8))
			}
		})
	}
}

// Work that would begin anew is stopped, and all that it had done is thrown away.
func TestWorkThatSavesNothingIsNotStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, gang := occupied(t, false, "slack")
		time.Sleep(time.Second)
		c.add("g", "mix", "choir", gang)
		c.playUntil(2*time.Second, func(time.Duration) {}, c.begun("g"))
		is.Equal(c.planner.Counts().Preempted, int64(0))
	})
}

// Jobs of one kind stop each other by turns, and none gets done.
func TestWorkOfAboutTheSameRankIsNotStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := accelerated(t, 2, usualQueue())
		for i := range 2 {
			gang := accelerators(1, 8, 4*time.Second)
			gang.Gang, gang.Checkpoints = true, true
			c.add(fmt.Sprint(i), "mix", "choir", gang)
		}
		c.step()
		for i := range 4 {
			gang := accelerators(1, 8, 4*time.Second)
			gang.Gang, gang.Checkpoints = true, true
			c.add(fmt.Sprint(10+i), "mix", "choir", gang)
		}
		c.playUntil(3*time.Second, func(time.Duration) {}, never)
		is.Equal(c.planner.Counts().Preempted, int64(0))
	})
}
