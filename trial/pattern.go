package trial

import (
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"plantainwinch/winch"
)

// Pattern is a load on a region, made to show one thing that the planner has to get
// right. All of it is generated from a seed.
type Pattern struct {
	Name  string
	Shows string // Shows says what goes wrong without a mechanism against it.
	// Length is how long jobs come; they then have drainTime to end.
	Length   time.Duration
	Lanes    int // Lanes is the number of entries that ask the advice service.
	Services []Service
	Queues   []winch.Queue
	Teams    []winch.RegionTeam
	Streams  []Stream
	// Look is how long the planner's VM takes for each worker that a decision looks at;
	// decisions take no time if it is zero.
	Look time.Duration
	// Loss is the part of orders, and of lists of ends, whose answer is lost.
	Loss float64
	// Allowed is the part of the workers that the advice service allows for a step.
	Allowed map[string]float64
	// Faults are what befalls workers.
	Faults []Fault
}

// Service is a number of alike workers.
type Service struct {
	Name    string
	Workers int
	Room    winch.Capacity
}

// Stream is jobs of one kind that a team hands in.
type Stream struct {
	Queue, Team string
	PerSecond   float64
	From, To    time.Duration // To is zero for the pattern's length.
	// Shape of a job: phases one after the other, of tasks whose number is drawn
	// around Width; each task takes about Work, and its estimate is off by Off.
	Phases int
	Width  float64
	Need   winch.Capacity
	// Accelerators are drawn from these, if there are any.
	Accelerators []int
	Work         time.Duration
	Off          float64
	Gang, Saves  bool
	// Crashes is the part of the jobs that have tasks which crash the workers that start them.
	Crashes float64
}

// arrivalOf is a job of a stream with the true run time of each phase's tasks.
type arrivalOf struct {
	at    time.Duration
	job   winch.PhasedJob
	truth [][]time.Duration
	crash crashing
}

// arrivals generates the jobs of a pattern.
func (p Pattern) arrivals(rnd *rand.Rand, begin time.Time) []arrivalOf {
	var out []arrivalOf
	for n, s := range p.Streams {
		to := s.To
		if to == 0 {
			to = p.Length
		}
		at := s.From
		for i := 0; ; i++ {
			at += time.Duration(rnd.ExpFloat64() / s.PerSecond * float64(time.Second))
			if at >= to {
				break
			}
			out = append(out, s.arrival(rnd, at, begin, strconv.Itoa(n)+"-"+strconv.Itoa(i)))
		}
	}
	return out
}

func (s Stream) arrival(rnd *rand.Rand, at time.Duration, begin time.Time, id string) arrivalOf {
	out := arrivalOf{at: at, job: winch.PhasedJob{ID: id, Queue: s.Queue, Team: s.Team, Command: id, Accepted: begin.Add(at), Revision: 1}}
	need := s.Need
	if len(s.Accelerators) > 0 {
		need.Accelerators = s.Accelerators[rnd.IntN(len(s.Accelerators))]
	}
	if s.Crashes > 0 {
		out.crash = drawCrashing(rnd, s.Crashes)
	}
	for phase := range max(1, s.Phases) {
		width := max(1, int(math.Round(s.Width*spread(rnd, 0.5))))
		work := time.Duration(float64(s.Work) * spread(rnd, 0.4))
		x := winch.Phase{
			Count: width, Need: need, Estimate: time.Duration(float64(work) * spread(rnd, s.Off)), Gang: s.Gang, Checkpoints: s.Saves,
		}
		if phase > 0 {
			x.After = []int{phase - 1}
		}
		var truth []time.Duration
		for range width {
			truth = append(truth, time.Duration(float64(work)*spread(rnd, 0.1)))
		}
		out.job.Phases = append(out.job.Phases, x)
		out.truth = append(out.truth, truth)
	}
	return out
}

// spread draws a factor around one, twice of which is as likely as half.
func spread(rnd *rand.Rand, by float64) float64 {
	return math.Exp(min(1.5, max(-1.5, rnd.NormFloat64())) * by)
}

const gigabyte = winch.Bytes(1 << 30)

// Queues and shapes that the patterns share.
var (
	queueUrgent = winch.Queue{
		Name: "lookup", Service: "general", Attempts: 2, Target: 250 * time.Millisecond, Stretch: 1.5,
		Advice: &winch.AdviceCost{Call: 18 * time.Millisecond, Worker: 260 * time.Microsecond, Valid: 2 * time.Second},
	}
	queueBatch = winch.Queue{
		Name: "batch", Service: "general", Priority: 2, Attempts: 2, Target: 3 * time.Second, Stretch: 4,
		Advice: &winch.AdviceCost{Call: 150 * time.Millisecond, Worker: 2100 * time.Microsecond, Valid: 2 * time.Second},
	}
	queueGang = winch.Queue{
		Name: "gang", Service: "accelerated", Priority: 1, Attempts: 3, Target: time.Second, Stretch: 2.2,
		Advice: &winch.AdviceCost{Call: 430 * time.Millisecond, Worker: 6100 * time.Microsecond, Valid: 2 * time.Second},
	}
	queueSmall = winch.Queue{
		Name: "small", Service: "accelerated", Priority: 2, Attempts: 4, Target: 3 * time.Second, Stretch: 4,
		Advice: &winch.AdviceCost{Call: 150 * time.Millisecond, Worker: 2200 * time.Microsecond, Valid: 2 * time.Second},
	}
	general     = Service{Name: "general", Workers: 35, Room: winch.Capacity{Milli: 64_000, Memory: 256 * gigabyte}}
	accelerated = Service{Name: "accelerated", Workers: 13, Room: winch.Capacity{Milli: 128_000, Memory: 256 * gigabyte, Accelerators: 8}}
	allowed     = map[string]float64{"lookup": 0.7, "batch": 0.45, "gang": 0.3, "small": 0.45}
	wide        = Service{Name: "general", Workers: 220, Room: winch.Capacity{Milli: 16_000, Memory: 32 * gigabyte}}
	teams       = []winch.RegionTeam{{Name: "north"}, {Name: "south"}}
)

func lookups(perSecond float64) Stream {
	return Stream{
		Queue: "lookup", Team: "north", PerSecond: perSecond, Phases: 1, Width: 6,
		Need: winch.Capacity{Milli: 6100, Memory: 12 * gigabyte}, Work: 880 * time.Millisecond, Off: 0.9,
	}
}

func batches(perSecond float64) Stream {
	return Stream{
		Queue: "batch", Team: "south", PerSecond: perSecond, Phases: 2, Width: 11,
		Need: winch.Capacity{Milli: 13_000, Memory: 38 * gigabyte}, Work: 4500 * time.Millisecond, Off: 0.9, Saves: true,
	}
}

func gangs(perSecond float64) Stream {
	return Stream{
		Queue: "gang", Team: "north", PerSecond: perSecond, Width: 1.5, Gang: true, Saves: true,
		Need: winch.Capacity{Milli: 62_000, Memory: 120 * gigabyte}, Accelerators: []int{2, 4, 8, 8}, Work: 3600 * time.Millisecond, Off: 0.2,
	}
}

func smalls(perSecond float64) Stream {
	return Stream{
		Queue: "small", Team: "south", PerSecond: perSecond, Width: 8,
		Need: winch.Capacity{Milli: 11_000, Memory: 28 * gigabyte, Accelerators: 1}, Work: 2400 * time.Millisecond, Off: 0.2, Saves: true,
	}
}

// previews are lookups of a large region with small workers, renders its batches.
func previews(perSecond float64) Stream {
	return Stream{
		Queue: "lookup", Team: "north", PerSecond: perSecond, Phases: 2, Width: 13,
		Need: winch.Capacity{Milli: 3500, Memory: 5 * gigabyte}, Work: 640 * time.Millisecond, Off: 0.5,
	}
}

func renders(perSecond float64) Stream {
	return Stream{
		Queue: "batch", Team: "south", PerSecond: perSecond, Phases: 2, Width: 41,
		Need: winch.Capacity{Milli: 4500, Memory: 4600 << 20}, Work: 3800 * time.Millisecond, Off: 0.5, Saves: true,
	}
}

// between bounds a stream to a span of time.
func (s Stream) between(from, to time.Duration) Stream {
	s.From, s.To = from, to
	return s
}

// crashing has a part of a stream's jobs crash their workers.
func (s Stream) crashing(part float64) Stream {
	s.Crashes = part
	return s
}

// of gives a stream to a team.
func (s Stream) of(team string) Stream {
	s.Team = team
	return s
}

// Patterns are the loads that are measured. Sizes and costs are those of a small
// region with two services, one of them accelerated.
func Patterns() []Pattern {
	base := Pattern{
		Length: 60 * time.Second, Lanes: 7, Services: []Service{general, accelerated},
		Queues: []winch.Queue{queueUrgent, queueBatch, queueGang, queueSmall}, Teams: teams, Allowed: allowed,
	}
	pattern := func(name, shows string, change func(*Pattern)) Pattern {
		p := base
		p.Name, p.Shows = name, shows
		change(&p)
		return p
	}
	return []Pattern{
		pattern("bursts", "urgent bursts over wide batches: long work takes the room that a burst needs", func(p *Pattern) {
			p.Streams = []Stream{lookups(10), lookups(26).between(10*time.Second, 15*time.Second), lookups(26).between(35*time.Second, 40*time.Second), batches(1.5)}
		}),
		pattern("gangs", "gangs that need whole workers, few of them allowed: small tasks overtake them", func(p *Pattern) {
			p.Streams = []Stream{gangs(1.8), smalls(1.6)}
		}),
		pattern("unheard", "answers are lost for ten seconds: starts and ends go unheard", func(p *Pattern) {
			p.Loss = 0.045
			p.Streams = []Stream{lookups(11), batches(0.6)}
		}),
		pattern("lanes", "questions near the limit of the lanes: slow ones keep urgent ones waiting, or stand idle", func(p *Pattern) {
			p.Lanes = 3
			p.Streams = []Stream{lookups(12), gangs(1.5), smalls(1.2)}
		}),
		pattern("hot-team", "a team sends five times its share: the others wait behind it", func(p *Pattern) {
			p.Teams = []winch.RegionTeam{{Name: "north", Weight: 14}, {Name: "south", Weight: 8}}
			p.Streams = []Stream{lookups(10), lookups(40).of("south").between(15*time.Second, 35*time.Second), batches(0.5)}
		}),
		pattern("slow-planner", "a burst on a large region, planned on a weak VM: decisions cost what waits, and the backlog grows", func(p *Pattern) {
			p.Services, p.Lanes, p.Look = []Service{wide}, 30, 2*time.Microsecond
			p.Streams = []Stream{
				previews(11), previews(20).between(8*time.Second, 12*time.Second),
				renders(1.3), renders(1.6).between(8*time.Second, 12*time.Second),
			}
		}),
		pattern("crashes", "jobs crash the workers that start them, others crash by themselves, a rack too: what runs beside them is started again, and given up with them", func(p *Pattern) {
			p.Streams = []Stream{lookups(8), batches(0.8), lookups(0.6).crashing(1).between(5*time.Second, 40*time.Second), batches(0.15).crashing(1).between(5*time.Second, 40*time.Second)}
			p.Faults = []Fault{{At: 8 * time.Second, Count: 1, Every: 4 * time.Second}, {At: 22 * time.Second, Count: 8}}
		}),
		pattern("shrinks", "workers have less room for some seconds: what is started there must fit what is left", func(p *Pattern) {
			p.Streams = []Stream{lookups(10), batches(1.2)}
			p.Faults = []Fault{{At: 5 * time.Second, Count: 3, Every: 2 * time.Second, Shrinks: true}}
		}),
		pattern("overload", "more than fits for twenty seconds: what is late already, or beyond help, takes the room", func(p *Pattern) {
			p.Streams = []Stream{gangs(1.5), gangs(1.8).between(10*time.Second, 30*time.Second), smalls(1.4)}
		}),
	}
}
