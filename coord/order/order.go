// Package order decides in which order waiting work is started while a service is full: it computes
// what teams use of their shares, learns run times, and ranks work of the same class. It has no clock
// and no state beyond its values; times are arguments.
package order

import (
	"math"
	"time"

	"plantainwinch/winch"
)

// Group is the first criterion among work of the same class; the lowest goes first.
type Group int

// Groups of work.
const (
	// Begun work is finished before more is begun, since half of a job is worth nothing.
	Begun Group = iota
	// Underserved work is of a size of which less is begun than of the queue as a whole.
	Underserved
	// Fresh work can be on time if it is started soon.
	Fresh
	AboveShare // AboveShare is work of a team that uses much more than its share.
	LateBegun  // LateBegun is begun work that can no longer be on time.
	// LastCall work can no longer be on time, and must be started soon to end while its caller waits.
	LastCall
	// Early work can be on time even if it is started much later.
	Early
	EarlyAboveShare
	Late
	LateAboveShare
	Hopeless // Hopeless is work that can no longer end while its caller waits.
)

// AboveShare reports whether the group is one of work that waits because its team is above its share.
func (g Group) AboveShare() bool {
	return g == AboveShare || g == EarlyAboveShare || g == LateAboveShare
}

// A job counts as able to be on time if the time left is at least its remaining chain multiplied by
// one of these factors. Work that has begun is given up later, since what it has used would be wasted.
const (
	freshChainFactor = 1.2
	begunChainFactor = 0.8
	earlyFactor      = 1.8
	// hopelessFactor applies to the time until the caller stops waiting.
	hopelessFactor = 0.5
)

// Work is waiting work, as seen by an order.
type Work struct {
	Accepted  time.Time
	Objective time.Time
	Deadline  time.Time     // Deadline is when the caller stops waiting.
	Path      time.Duration // Path is the expected time of the remaining chain.
	// Remaining is what the job still needs, relative to the mean of all that its queue's jobs need.
	Remaining float64
	Begun     bool
	// Whole is set if the work starts as a whole: tasks of begun work, started one by one, would
	// otherwise always take the capacity that it waits for.
	Whole       bool
	Underserved bool
	// Unawaited is set if late work counts as not awaited by its caller.
	Unawaited bool
	Team      Standing
}

// OnTime reports whether the work can still be on time.
func (w *Work) OnTime(now time.Time) bool {
	factor := freshChainFactor
	if w.Begun {
		factor = begunChainFactor
	}
	return w.Objective.Sub(now).Seconds() >= factor*w.Path.Seconds()
}

// Group returns the group of the work.
func (w *Work) Group(now time.Time) Group {
	if w.OnTime(now) {
		early := w.Objective.Sub(now).Seconds() > earlyFactor*w.Path.Seconds()
		switch {
		case w.Begun || w.Whole && !w.Team.Above:
			return Begun
		case w.Team.Above && early:
			return EarlyAboveShare
		case w.Team.Above:
			return AboveShare
		case w.Underserved:
			return Underserved
		case early:
			return Early
		}
		return Fresh
	}
	switch {
	case w.Deadline.Sub(now).Seconds() < hopelessFactor*w.Path.Seconds():
		return Hopeless
	case w.Begun:
		return LateBegun
	case w.Team.Above:
		return LateAboveShare
	case w.Unawaited:
		return Late
	case w.Whole:
		return LateBegun
	case w.LastCall(now):
		return LastCall
	}
	return Late
}

const (
	// deficitSteps is the number of steps into which a share is divided, so that teams with nearly
	// the same deficit are served by slack and not one after the other.
	deficitSteps = 8
	// stepSpan is the difference of keys between two steps, in seconds. It exceeds the slack of work
	// that runs for minutes. maxSteps bounds the number of steps above a share.
	stepSpan = 1e3
	maxSteps = 16
	// ageDoubling is the fraction of its objective after which waiting work counts as half as
	// large.
	ageDoubling = 0.25
	// underservedFactor is how much smaller jobs of an underserved size count for Mixed.
	underservedFactor = 8
	// maxTeamWeight bounds the factor by which Mixed weighs a team's standing.
	maxTeamWeight = 4
)

// Key returns the second criterion; the lowest goes first. It is valid for as long as the slack of
// all compared work decreases at the same rate, that is for keys of the same time.
func (w *Work) Key(o winch.Order, now time.Time) float64 {
	limit := w.Objective
	if !w.OnTime(now) {
		limit = w.Deadline
	}
	slack := limit.Sub(now).Seconds() - w.Path.Seconds()
	switch o {
	case winch.OrderLeastWork:
		return w.aged(now)
	case winch.OrderDeficit:
		return stepSpan*min(maxSteps, math.Floor(deficitSteps*w.Team.Ratio)) + slack
	case winch.OrderMixed:
		spare := max(0, slack) / max(1e-3, w.Objective.Sub(w.Accepted).Seconds())
		key := w.aged(now) * (0.5 + spare)
		if w.Underserved {
			key /= underservedFactor
		}
		return key * min(maxTeamWeight, max(1.0/maxTeamWeight, w.Team.Ratio))
	}
	return slack
}

// aged returns the remaining work, reduced by the time that it has waited relative to its objective.
func (w *Work) aged(now time.Time) float64 {
	age := now.Sub(w.Accepted).Seconds() / max(1e-3, w.Objective.Sub(w.Accepted).Seconds())
	return w.Remaining * math.Exp2(-age/ageDoubling)
}

// Accepted work must not starve, and a late answer is worth more than none. Two small parts of the
// capacity therefore serve work that ranks behind other work: LateShare that which can just still end
// while its caller waits, and AgedShare that which has waited for more than AgeFactor times its
// objective, in the order of its acceptance. No caller waits for the latter any more; it is served
// because it was accepted.
const (
	AgeFactor = 2 * winch.LateFactor
	AgedShare = 1.0 / 32
	LateShare = 1.0 / 32
)

// lastCallPaths is how many of its remaining chains late work must still have until its caller stops
// waiting when its last call begins.
const lastCallPaths = 2

// LastCall reports whether late work must be started now to end while its caller waits.
func (w *Work) LastCall(now time.Time) bool {
	left := w.Deadline.Sub(now)
	return !w.Unawaited && !w.OnTime(now) && left <= lastCallPaths*w.Path && left >= w.Path
}

// maxAllowance is the longest time for which an unused part of the capacity is saved up.
const maxAllowance = time.Second

// Allowance is a part of the capacity that some work may use ahead of other work. Share must be set;
// the allowance is counted in seconds of all capacity.
type Allowance struct {
	Share   float64
	seconds float64
	updated time.Time
}

// Update adds what has become available since the last update.
func (a *Allowance) Update(now time.Time) {
	if a.updated.IsZero() {
		a.seconds = a.Share * maxAllowance.Seconds()
	} else if now.After(a.updated) {
		a.seconds = min(a.Share*maxAllowance.Seconds(), a.seconds+a.Share*now.Sub(a.updated).Seconds())
	}
	a.updated = now
}

// Available reports whether work may be started ahead of other work.
func (a *Allowance) Available() bool { return a.seconds > 0 }

// Spend takes a run of the given time that needs a fraction of the capacity.
func (a *Allowance) Spend(fraction float64, took time.Duration) {
	a.seconds -= fraction * took.Seconds()
}

// AgedBound returns how long work waits at most behind other work: its age limit, then the time to
// serve the work accepted before it, given in seconds of all capacity, with AgedShare of the
// capacity, and the longest run, which holds the capacity that the work needs.
func AgedBound(objective time.Duration, before float64, longestRun time.Duration) time.Duration {
	return AgeFactor*objective + maxAllowance + time.Duration(before/AgedShare*float64(time.Second)) + longestRun
}
