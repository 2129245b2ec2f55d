package trial

import (
	"strconv"
	"time"

	"plantainwinch/winch"
)

// crowdTeams is the number of teams of the patterns with many teams.
const crowdTeams = 20

var (
	crowdWorkers = Service{Name: "general", Workers: 120, Room: winch.Capacity{Milli: 16_000, Memory: 64 * gigabyte}}
	queueHeavy   = winch.Queue{
		Name: "batch", Service: "general", Priority: 2, Attempts: 2, Target: 1200 * time.Millisecond, Stretch: 2.2,
		Advice: &winch.AdviceCost{Call: 494 * time.Millisecond, Worker: 7150 * time.Microsecond, Valid: 2500 * time.Millisecond},
	}
)

// crowdTeam returns the name of a team of the patterns with many teams.
func crowdTeam(i int) string { return "team" + strconv.Itoa(i) }

// crowdWeight returns a team's part of all demand: one team has a fifth, and the others have
// between 2 and 6.5 percent.
func crowdWeight(i int) float64 {
	if i == 0 {
		return 0.2
	}
	return 0.8 * float64(1+i%3) / (2 * (crowdTeams - 1))
}

// crowd gives a pattern a large service that many teams of unlike weight share, each with urgent and
// batch jobs. A team's weight is many times what it submits, so no job exceeds it.
func (p *Pattern) crowd(urgentPerSecond, batchPerSecond float64) {
	p.Services, p.Lanes, p.Queues = []Service{crowdWorkers}, 45, []winch.Queue{queueUrgent, queueHeavy}
	p.AllowedShare = map[string]float64{"lookup": 0.7, "batch": 0.35}
	p.Teams, p.Streams = nil, nil
	for i := range crowdTeams {
		weight := crowdWeight(i)
		p.Teams = append(p.Teams, winch.RegionTeam{Name: crowdTeam(i), Weight: 10 * weight * (urgentPerSecond + batchPerSecond)})
		p.Streams = append(p.Streams, crowdLookups(weight*urgentPerSecond).forTeam(crowdTeam(i)), crowdBatches(weight*batchPerSecond).forTeam(crowdTeam(i)))
	}
}

// crowdLookups returns the stream of urgent jobs of a region with many teams.
func crowdLookups(perSecond float64) Stream {
	return Stream{
		Queue: "lookup", PerSecond: perSecond, Phases: 2, Width: 8,
		Need: winch.Capacity{Milli: 2200, Memory: 4 * gigabyte}, RunTime: 800 * time.Millisecond, EstimateError: 0.2,
	}
}

// crowdBatches returns the stream of batch jobs of a region with many teams.
func crowdBatches(perSecond float64) Stream {
	return Stream{
		Queue: "batch", PerSecond: perSecond, Phases: 2, Width: 14,
		Need: winch.Capacity{Milli: 4500, Memory: 9 * gigabyte}, RunTime: 6 * time.Second, EstimateError: 0.9, Checkpoints: true,
	}
}

// ofSize returns the stream with its jobs' numbers of tasks multiplied by a factor.
func (s Stream) ofSize(factor float64) Stream {
	s.Width *= factor
	return s
}

// hotCrowd is a full region in which one of many teams submits five times its usual jobs.
func hotCrowd(p *Pattern) {
	const urgent, batch = 16, 2.6
	p.crowd(urgent, batch)
	weight := crowdWeight(2)
	p.Streams = append(p.Streams,
		crowdLookups(4*weight*urgent).forTeam(crowdTeam(2)).between(8*time.Second, 28*time.Second),
		crowdBatches(4*weight*batch).forTeam(crowdTeam(2)).between(8*time.Second, 28*time.Second))
}

// mixedOverload is an overload of urgent jobs and of batch jobs of widely different sizes.
func mixedOverload(p *Pattern) {
	const urgent, batch = 13, 1.9
	p.crowd(urgent, batch)
	for i := range crowdTeams {
		weight := crowdWeight(i)
		small, large := crowdBatches(3*weight).ofSize(0.15), crowdBatches(0.2*weight).ofSize(3)
		p.Streams = append(p.Streams, small.forTeam(crowdTeam(i)), large.forTeam(crowdTeam(i)),
			crowdLookups(weight*urgent).forTeam(crowdTeam(i)).between(8*time.Second, 25*time.Second),
			crowdBatches(weight).forTeam(crowdTeam(i)).between(8*time.Second, 25*time.Second))
	}
}
