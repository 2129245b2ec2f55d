package lanes

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// simulate sends urgent requests at a fixed rate and slow ones whenever a lane is free. It
// returns, for the second half of the time, the maximum number of slow requests in flight
// and the maximum waiting time of an urgent one.
func simulate(lanes int, urgentGap, urgentTime, slowTime, length time.Duration) (slow int, waited time.Duration) {
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
			l.Add(Request[time.Time]{Body: urgent, Urgent: true})
			urgent = urgent.Add(urgentGap)
		}
		for l.Waiting() < 2*lanes {
			l.Add(Request[time.Time]{Body: now})
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
				slow = max(slow, l.busySlow)
			}
		}
	}
	return slow, waited
}

// Guards against reserving lanes for urgent requests that hardly use them. With a fixed reserve a
// third of the lanes stays idle while slow requests wait.
func TestSlowRequestsUseLanesNotNeededByUrgentOnes(t *testing.T) {
	is := is.New(t)
	slow, _ := simulate(30, 0, 0, 500*time.Millisecond, 30*time.Second)
	is.Equal(slow, 29)
	slow, waited := simulate(30, 50*time.Millisecond, 30*time.Millisecond, 500*time.Millisecond, 30*time.Second)
	is.True(slow >= 27)
	is.True(waited < 100*time.Millisecond)
}

// Guards against urgent requests that wait for slow ones, which take half a second, because these
// occupy all lanes.
func TestUrgentRequestsFindALaneInABurst(t *testing.T) {
	is := is.New(t)
	_, waited := simulate(7, 16*time.Millisecond, 30*time.Millisecond, 500*time.Millisecond, 30*time.Second)
	is.True(waited <= 100*time.Millisecond)
}

// Guards against using a lane again right after a failed request: the next request would be sent
// to an entry that has just failed, and fail too.
func TestFailedLaneBacksOff(t *testing.T) {
	is := is.New(t)
	var l Lanes[int]
	l.SetLanes([]string{"a"})
	now := time.Unix(0, 0)
	l.Add(Request[int]{Body: 1})
	name, _, ok := l.Next(now)
	is.True(ok)
	l.Done(name, false, now)
	l.Add(Request[int]{Body: 2})
	_, _, ok = l.Next(now.Add(failureBackoff / 2))
	is.True(!ok)
	_, _, ok = l.Next(now.Add(failureBackoff + time.Millisecond))
	is.True(ok)
}

// Guards against a request to an entry that has left: its lane must not be used again after the request
// that was pending there.
func TestRemovedLaneIsNotUsedAfterItsRequest(t *testing.T) {
	is := is.New(t)
	var l Lanes[int]
	l.SetLanes([]string{"a"})
	now := time.Unix(0, 0)
	l.Add(Request[int]{Body: 1})
	name, _, ok := l.Next(now)
	is.True(ok)
	l.SetLanes([]string{"b"})
	l.Done(name, true, now)
	now = now.Add(time.Millisecond)
	l.Add(Request[int]{Body: 2})
	name, _, ok = l.Next(now)
	is.True(ok)
	is.Equal(name, "b")
}

// Guards against a lane lost for good: an entry that leaves and comes back while its request is pending
// has one lane, used again after that request.
func TestReturnedLaneIsUsedAfterItsRequest(t *testing.T) {
	is := is.New(t)
	var l Lanes[int]
	l.SetLanes([]string{"a"})
	now := time.Unix(0, 0)
	l.Add(Request[int]{Body: 1})
	name, _, _ := l.Next(now)
	l.SetLanes(nil)
	l.SetLanes([]string{"a"})
	l.Add(Request[int]{Body: 2})
	_, _, ok := l.Next(now.Add(time.Millisecond))
	is.True(!ok)
	l.Done(name, true, now)
	_, _, ok = l.Next(now.Add(time.Millisecond))
	is.True(ok)
}
