package trial

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"plantainwinch/winch"
)

// unevenDomains is the number of failure domains of the patterns with workers of two speeds.
const unevenDomains = 4

// unevenPattern returns a load in the proportions of an exercise runner's region on a quiet day, on a
// third of its workers: over half of the capacity is free, and estimates are of no use.
func unevenPattern(p Pattern, name, description string, slowShare float64) Pattern {
	p.Name, p.Description, p.Lanes = name, description, 30
	p.Services = []Service{{Name: "general", Workers: 117, Room: winch.Capacity{Milli: 64_000, Memory: 128 * gigabyte}, SlowShare: slowShare, Kinds: 2}}
	p.Domains = unevenDomains
	urgent, batch := queueUrgent, queueBatch
	urgent.Advice = &winch.AdviceCost{Call: 26 * time.Millisecond, Worker: 380 * time.Microsecond, Valid: 2500 * time.Millisecond}
	batch.Advice = &winch.AdviceCost{Call: 390 * time.Millisecond, Worker: 5600 * time.Microsecond, Valid: 2500 * time.Millisecond}
	batch.Target, batch.Stretch = 1200*time.Millisecond, 2.2
	p.Queues = []winch.Queue{urgent, batch}
	p.AllowedShare = map[string]float64{urgent.Name: 0.7, batch.Name: 0.35}
	urgentStream := Stream{
		Queue: urgent.Name, Team: "north", PerSecond: 6.6, Phases: 2, Width: 9, TaskSpread: 0.3,
		Need: winch.Capacity{Milli: 8900, Memory: 10 * gigabyte}, RunTime: 850 * time.Millisecond, EstimateError: 0.9,
	}
	batchStream := Stream{
		Queue: batch.Name, Team: "south", PerSecond: 1.1, Phases: 2, Width: 19, TaskSpread: 0.3,
		Need: winch.Capacity{Milli: 18_000, Memory: 20 * gigabyte}, RunTime: 3200 * time.Millisecond, EstimateError: 0.9, Checkpoints: true,
	}
	wave := urgentStream
	wave.PerSecond = 8
	p.Streams = []Stream{urgentStream, batchStream, wave.between(10*time.Second, 14*time.Second), wave.between(27*time.Second, 31*time.Second)}
	return p
}

// healthyShare is the mean run time at the workers that are not slow, relative to the median run time of a
// phase.
const healthyShare = 0.9

// speedOf returns how long work takes at the i-th worker relative to the mean of those that are not slow:
// 0.8 to 0.99 of the median run time of a phase, or 1.46 to 2 times that at slow ones. It does not depend
// on the worker's kind.
func (s Service) speedOf(i int) float64 {
	if s.SlowShare == 0 {
		return 1
	}
	rnd := rand.New(rand.NewPCG(uint64(i), 5))
	if rnd.Float64() < s.SlowShare {
		return (1.46 + 0.54*rnd.Float64()) / healthyShare
	}
	return (0.8 + 0.19*rnd.Float64()) / healthyShare
}

// slowFor is how long a slowdown lasts.
const slowFor = 12 * time.Second

// slowDown makes the work that is started at a worker of usual speed take longer for a while.
func (r *simRegion) slowDown(w *workerState, factor float64) {
	if w.speed == 1 {
		w.speed = factor
		r.schedule(slowFor, func() { w.speed = 1 })
	}
}

// sortedRuns returns the keys of all runs in the order of their numbers.
func (r *simRegion) sortedRuns() []runKey {
	return slices.SortedFunc(maps.Keys(r.runs), func(a, b runKey) int { return cmp.Compare(a.run, b.run) })
}

// labelsOf returns the labels of the i-th worker.
func (s Service) labelsOf(i int) []string {
	if s.Kinds == 0 {
		return nil
	}
	return []string{string(rune('a' + i%s.Kinds))}
}
