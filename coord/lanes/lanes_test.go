package lanes

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// play asks questions of each kind at a rate for some time and returns how many slow
// ones were on their way at most, and how long urgent ones waited at most.
func play(lanes int, urgentGap, urgentTime, slowTime, length time.Duration) (slow int, waited time.Duration) {
	var l Lanes[time.Time]
	var names []string
	for i := range lanes {
		names = append(names, fmt.Sprintf("lane%02d", i))
	}
	l.SetLanes(names)
	now := time.Unix(0, 0)
	end := now.Add(length)
	busy := make(map[string]time.Time)
	urgent := now
	for ; now.Before(end); now = now.Add(5 * time.Millisecond) {
		for name, until := range busy {
			if !now.Before(until) {
				l.Done(name, true, now)
				delete(busy, name)
			}
		}
		for urgentGap > 0 && !urgent.After(now) {
			l.Add(Question[time.Time]{Body: urgent, Urgent: true})
			urgent = urgent.Add(urgentGap)
		}
		for l.Waiting() < 2*lanes {
			l.Add(Question[time.Time]{Body: now})
		}
		for {
			name, q, ok := l.Next(now)
			if !ok {
				break
			}
			if q.Urgent {
				busy[name] = now.Add(urgentTime)
				if now.Sub(end.Add(-length)) > length/2 {
					waited = max(waited, now.Sub(q.Body))
				}
			} else {
				busy[name] = now.Add(slowTime)
			}
			if now.Sub(end.Add(-length)) > length/2 {
				slow = max(slow, l.slow)
			}
		}
	}
	return slow, waited
}

// A third of the lanes stands idle where hardly any urgent question comes, while slow
// ones wait.
func TestSlowQuestionsTakeLanesThatUrgentOnesDoNotUse(t *testing.T) {
	is := is.New(t)
	slow, _ := play(30, 0, 0, 500*time.Millisecond, 30*time.Second)
	is.Equal(slow, 29)
	slow, waited := play(30, 50*time.Millisecond, 30*time.Millisecond, 500*time.Millisecond, 30*time.Second)
	is.True(slow >= 27)
	is.True(waited < 100*time.Millisecond)
}

// Urgent questions that come in a burst wait behind slow ones that take half a second.
func TestUrgentQuestionsFindALaneInABurst(t *testing.T) {
	is := is.New(t)
	_, waited := play(7, 16*time.Millisecond, 30*time.Millisecond, 500*time.Millisecond, 30*time.Second)
	is.True(waited <= 100*time.Millisecond)
}

// A lane that gave no answer is asked again at once, and its question is lost anew.
func TestLaneThatFailedRests(t *testing.T) {
	is := is.New(t)
	var l Lanes[int]
	l.SetLanes([]string{"a"})
	now := time.Unix(0, 0)
	l.Add(Question[int]{Body: 1})
	name, _, ok := l.Next(now)
	is.True(ok)
	l.Done(name, false, now)
	l.Add(Question[int]{Body: 2})
	_, _, ok = l.Next(now.Add(restAfterFailure / 2))
	is.True(!ok)
	_, _, ok = l.Next(now.Add(restAfterFailure + time.Millisecond))
	is.True(ok)
}
