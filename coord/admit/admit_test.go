package admit

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"plantainwinch/winch"
)

var start = time.Date(2026, 3, 1, 20, 0, 0, 0, time.UTC)

func at(d time.Duration) time.Time { return start.Add(d) }

// urgentQueue has an objective of 250 ms plus 1.5 times the chain, normalQueue of 1.2 s plus 2.2 times.
func urgentQueue() *winch.Queue {
	return &winch.Queue{Name: "lookup", Service: "general", Target: 250 * time.Millisecond, Stretch: 1.5}
}

func normalQueue() *winch.Queue {
	return &winch.Queue{Name: "batch", Service: "general", Priority: 2, Target: 1200 * time.Millisecond, Stretch: 2.2}
}

// service returns a service of 100 processors with the given seconds of work.
func service(urgent, normal, excess, abandoned float64) *Service {
	amount := func(seconds float64) Amount { return Amount{Milli: seconds * 100_000, Memory: seconds * 10} }
	return &Service{Capacity: amount(1), Urgent: amount(urgent), Normal: amount(normal), Excess: amount(excess), AbandonedUrgent: amount(abandoned)}
}

// exact are estimates that were right for a hundred jobs.
func exact() Estimates {
	var e Estimates
	for range 1000 {
		e.Observe(time.Second, time.Second)
	}
	return e
}

func urgentJob(id string) Job {
	return Job{ID: id, Team: "north", Queue: urgentQueue(), Chain: time.Second, MilliSeconds: 10_000}
}

// gateWith returns a gate that has just received the forecast for the service.
func gateWith(s *Service, e Estimates, teams ...Submitter) *Gate {
	state := Forecast([]Load{{urgentQueue(), s, e, 50}, {normalQueue(), s, e, 5}}, teams)
	state.Term, state.Sequence, state.Entries = 1, 1, 45
	g := &Gate{}
	g.Update(state, start)
	return g
}

// Guards against refusing a job that could end within three objectives, and against accepting one that
// could not. The job's objective is 1.75 s, so it may wait for 4.25 s.
func TestOnlyJobsThatCannotEndInTimeAreRefused(t *testing.T) {
	is := is.New(t)
	for _, x := range []struct {
		urgent, abandoned float64
		refused           bool
	}{
		{0, 0, false},
		{4.2, 0, false},
		{4.3, 0, true},
		{2, 2.2, false},
		{2, 2.3, true},
		{0.7, 20, false}, // It is on time, since work that nobody waits for is ranked behind it.
		{0.8, 20, true},
	} {
		d := gateWith(service(x.urgent, 0, 0, x.abandoned), exact()).Decide(urgentJob("a"), start)
		t.Log(x, d)
		is.Equal(d.Refused, x.refused)
	}
}

// Guards against refusing urgent jobs because of batch work, which is ranked behind them, and against
// accepting batch jobs in spite of urgent work.
func TestForecastCountsWorkThatIsRankedBefore(t *testing.T) {
	is := is.New(t)
	is.True(!gateWith(service(0.1, 100, 0, 0), exact()).Decide(urgentJob("a"), start).Refused)
	batch := urgentJob("a")
	batch.Queue = normalQueue()
	is.True(gateWith(service(5, 5, 0, 0), exact()).Decide(batch, start).Refused) // It may wait for 9.2 s.
	is.True(!gateWith(service(5, 4, 0, 0), exact()).Decide(batch, start).Refused)
	is.True(!gateWith(service(5, 4, 10, 0), exact()).Decide(batch, start).Refused)
}

// Guards against refusing jobs whose estimates may be too short: the objective is computed from the true
// run times, so a job that runs for longer may also wait for longer.
func TestErrorOfEstimatesCountsInFavourOfTheJob(t *testing.T) {
	is := is.New(t)
	is.True(!gateWith(service(20, 0, 0, 0), Estimates{}).Decide(urgentJob("a"), start).Refused)
	is.True(gateWith(service(7, 0, 0, 0), exact()).Decide(urgentJob("a"), start).Refused)
	is.True(gateWith(service(30, 0, 0, 0), Estimates{}).Decide(urgentJob("a"), start).Refused)
}

// Guards against an estimate of the error that one outlier moves far, or that is not learned.
func TestErrorOfEstimatesIsLearned(t *testing.T) {
	is := is.New(t)
	var e Estimates
	is.True(e.Stretch() > 6-0.1) // Two deviations of 0.9.
	is.True(math.Abs(e.WorkFactor()-math.Exp(-0.405)) < 1e-9)
	rnd := rand.New(rand.NewPCG(1, 1))
	for range 2000 {
		e.Observe(time.Second, time.Duration(math.Exp(0.2*rnd.NormFloat64())*float64(time.Second)))
	}
	is.True(e.Stretch() > 1.3 && e.Stretch() < 1.75) // Two deviations of 0.2.
	before := e.Stretch()
	e.Observe(time.Second, time.Hour)
	is.True(e.Stretch() < before*1.8)
	e.Observe(0, time.Second)
	is.True(e.WorkFactor() <= 1)
}

// Guards against jobs within their team's weight being refused while jobs beyond it are accepted.
func TestJobsBeyondTheirTeamsWeightAreRefusedFirst(t *testing.T) {
	is := is.New(t)
	teams := []Submitter{{"north", 10, 9}, {"south", 10, 50}, {"free", 0, 100}}
	g := gateWith(service(3, 0, 10, 0), exact(), teams...)
	refused := make(map[string]int)
	for i := range 300 {
		for _, team := range []string{"north", "south", "free"} {
			j := urgentJob(fmt.Sprint(team, i))
			j.Team, j.MilliSeconds = team, 0
			if g.Decide(j, start).Refused {
				refused[team]++
			}
		}
	}
	is.Equal(refused["north"], 0)
	is.Equal(refused["free"], 0)
	is.True(refused["south"] >= 239 && refused["south"] <= 241) // A fifth is within the weight.
}

// Guards against a decision that depends on work which arrived before a service lost all workers.
func TestNothingIsRefusedWithoutCapacity(t *testing.T) {
	is := is.New(t)
	s := service(50, 50, 50, 0)
	s.Capacity = Amount{}
	is.True(!gateWith(s, exact()).Decide(urgentJob("a"), start).Refused)
	var unknown Gate
	is.True(!unknown.Decide(urgentJob("a"), start).Refused)
}

// Guards against a state that grows with the number of queues or teams.
func TestStateIsBounded(t *testing.T) {
	is := is.New(t)
	var loads []Load
	var teams []Submitter
	for i := range 500 {
		q := urgentQueue()
		q.Name = fmt.Sprint("q", i)
		loads = append(loads, Load{q, service(float64(i), 0, 0, 0), Estimates{}, 50})
		teams = append(teams, Submitter{fmt.Sprint("t", i), 1, float64(i)})
	}
	s := Forecast(loads, teams)
	is.Equal(len(s.Queues), MaxQueues)
	is.Equal(len(s.Teams), MaxTeams)
	is.Equal(s.Queues[0].Queue, Hash("q499"))
	is.Equal(s.Teams[0].Team, Hash("t499"))
	is.True(s.Refusing())
	idle := Forecast([]Load{{urgentQueue(), service(0.2, 0, 0, 0), Estimates{}, 50}}, teams)
	is.Equal(len(idle.Queues)+len(idle.Teams), 0) // A region with capacity to spare sends an empty state.
}

// Guards against a planner that was replaced, or a message that was overtaken, changing the decisions.
func TestOldTermsAndSequencesAreIgnored(t *testing.T) {
	is := is.New(t)
	var g Gate
	is.True(g.Update(State{Term: 2, Sequence: 5}, start))
	is.True(!g.Update(State{Term: 1, Sequence: 9}, start))
	is.True(!g.Update(State{Term: 2, Sequence: 5}, start))
	is.True(g.Update(State{Term: 2, Sequence: 6}, start))
	is.True(g.Update(State{Term: 3, Sequence: 1}, start))
}

// Guards against refusals that go on without any planner, and against all jobs being accepted as soon as
// one message is late.
func TestOldStateLosesItsWeight(t *testing.T) {
	is := is.New(t)
	refusedAt := func(policy TooOld, age time.Duration) bool {
		g := gateWith(service(14, 0, 0, 0), exact())
		g.TooOld = policy
		return g.Decide(urgentJob("a"), at(age)).Refused
	}
	for _, policy := range []TooOld{DecayOld, AcceptOld} {
		is.True(refusedAt(policy, time.Second))
		is.True(!refusedAt(policy, 5*time.Second))
	}
	is.True(refusedAt(DecayOld, 2*time.Second))
	is.True(!refusedAt(DecayOld, 4*time.Second))
	is.True(!refusedAt(AcceptOld, 2*time.Second))
}

// Guards against callers who all come back at once, or in an order that serves the same teams again.
func TestRetryAfterIsSpreadAndOrdered(t *testing.T) {
	is := is.New(t)
	g := gateWith(service(8, 0, 0, 0), exact())
	mean := make(map[string]float64)
	seen := make(map[time.Duration]bool)
	for i := range 400 {
		for n, team := range []string{"first", "second", "third"} {
			j := urgentJob(fmt.Sprint(team, i))
			j.Team = team
			d := g.Decide(j, at(time.Duration(n)*275*time.Millisecond))
			is.True(d.Refused)
			is.True(d.RetryAfter >= time.Second && d.RetryAfter <= maxRetry && d.RetryAfter%time.Second == 0)
			mean[team] += d.RetryAfter.Seconds() / 400
			seen[d.RetryAfter] = true
		}
	}
	t.Log(mean, seen)
	is.True(len(seen) >= 3)
}

// Guards against an order in which the team that has been refused for longest comes back last.
func TestLongestRefusedTeamComesBackFirst(t *testing.T) {
	is := is.New(t)
	g := gateWith(service(14, 0, 0, 0), exact())
	retry := func(team string, when time.Duration) time.Duration {
		j := urgentJob("same")
		j.Team = team
		return g.Decide(j, at(when)).RetryAfter
	}
	retry("long", 0)
	retry("new", 1100*time.Millisecond)
	is.True(retry("long", 1200*time.Millisecond) < retry("new", 1200*time.Millisecond))
	g.teams["served"] = &gateTeam{refusedSince: at(0), refusedAt: at(0)}
	g.teams["served"].served.Add(50, at(1100*time.Millisecond))
	is.True(retry("long", 1200*time.Millisecond) < retry("served", 1200*time.Millisecond))
}

// Guards against memory that grows with the names of teams.
func TestTeamsKeptAreBounded(t *testing.T) {
	is := is.New(t)
	g := gateWith(service(14, 0, 0, 0), exact())
	for i := range 2000 {
		j := urgentJob("a")
		j.Team = fmt.Sprint(i)
		g.Decide(j, at(time.Duration(i)*time.Microsecond))
	}
	is.Equal(len(g.teams), maxTeamsKept)
	is.True(g.teams["1999"] != nil)
}

// entriesTrial feeds gates at many entries with the jobs of a region, of which one planner knows.
type entriesTrial struct {
	gates  []*Gate
	shares []float64 // shares holds the fraction of the arrivals at each entry, added up.
	stale  map[int]bool
	rnd    *rand.Rand
	rate   Rate
	urgent float64 // urgent is the work that waits, in seconds of the region's capacity.
}

func newEntriesTrial(entries int, uneven bool) *entriesTrial {
	x := &entriesTrial{rnd: rand.New(rand.NewPCG(3, 3)), stale: make(map[int]bool)}
	sum := 0.0
	for range entries {
		x.gates = append(x.gates, &Gate{})
		share := 1.0
		if uneven {
			share = math.Exp(1.5 * x.rnd.NormFloat64())
		}
		sum += share
		x.shares = append(x.shares, sum)
	}
	return x
}

// entryTrialOutcome is what happened in one trial. The work is in seconds of the region's capacity.
type entryTrialOutcome struct {
	accepted, refused int
	longest, idle     float64
	// most is the largest work that arrived between two states.
	most          float64
	falseRefusals int
	lastRefusal   time.Duration
}

// play submits jobs of 10 processor seconds to a region of 100 processors until the end, at a rate that
// is the given multiple of what it can do, and publishes states twice a second.
func (x *entriesTrial) play(until time.Duration, multiple func(time.Duration) float64) entryTrialOutcome {
	const step = 10 * time.Millisecond
	var out entryTrialOutcome
	sequence, arrived := uint64(0), 0.0
	for now := time.Duration(0); now < until; now += step {
		if now%(500*time.Millisecond) == 0 {
			sequence++
			arrived = 0
			state := Forecast([]Load{{urgentQueue(), service(x.urgent, 0, 0, 0), exact(), x.rate.PerSecond(at(now))}}, nil)
			state.Term, state.Sequence, state.Entries = 1, sequence, len(x.gates)
			for i, g := range x.gates {
				if !x.stale[i] || now < 5*time.Second {
					g.Update(state, at(now))
				}
			}
		}
		for range poisson(x.rnd, 10*multiple(now)*step.Seconds()) {
			x.rate.Add(1, at(now))
			arrived += 0.1
			out.most = max(out.most, arrived)
			draw := x.rnd.Float64() * x.shares[len(x.shares)-1]
			i, _ := slices.BinarySearch(x.shares, draw)
			if x.gates[i].Decide(urgentJob(fmt.Sprint(out.accepted+out.refused)), at(now)).Refused {
				out.refused++
				out.lastRefusal = now
				if x.urgent < 4.25-1 {
					out.falseRefusals++
				}
			} else {
				out.accepted++
				x.urgent += 0.1
			}
		}
		out.longest = max(out.longest, x.urgent)
		if x.urgent < step.Seconds() {
			out.idle += step.Seconds() - x.urgent
		}
		x.urgent = max(0, x.urgent-step.Seconds())
	}
	return out
}

func poisson(rnd *rand.Rand, mean float64) (n int) {
	for p := rnd.ExpFloat64(); p < mean; p += rnd.ExpFloat64() {
		n++
	}
	return n
}

// Guards against entries that each accept what the forecast allows for the region, and against entries
// that leave capacity idle. The forecast allows jobs to wait for 4.25 s. The work accepted may exceed that
// by at most what arrives between two states. A refusal while less than 3.25 s of work waits would be a
// false one.
func TestEntriesTogetherAcceptWhatTheForecastAllows(t *testing.T) {
	for _, entries := range []int{3, 45, 300} {
		for _, uneven := range []bool{false, true} {
			for _, load := range []float64{1.5, 3} {
				is := is.NewRelaxed(t)
				x := newEntriesTrial(entries, uneven)
				out := x.play(40*time.Second, func(time.Duration) float64 { return load })
				t.Logf("entries=%d uneven=%v load=%v: %+v", entries, uneven, load, out)
				is.True(out.longest <= 4.25+out.most)
				is.True(out.refused > 0)
				is.True(out.idle < 0.5) // Only before the first jobs arrive.
				is.Equal(out.falseRefusals, 0)
			}
		}
	}
}

// Guards against entries that see an old state refusing what could be done, or accepting so much that the
// others cannot make up for it: a tenth of the entries receives nothing after the fifth second.
func TestEntriesWithOldStatesDoNotBreakTheBound(t *testing.T) {
	is := is.NewRelaxed(t)
	x := newEntriesTrial(45, true)
	for i := range 4 {
		x.stale[i*11] = true
	}
	out := x.play(40*time.Second, func(time.Duration) float64 { return 2 })
	t.Logf("%+v", out)
	is.True(out.longest <= 4.25+out.most)
	is.True(out.idle < 0.5)
	is.Equal(out.falseRefusals, 0)
}

// Guards against refusals that outlast a burst: three times the capacity arrives for ten seconds, and then
// half of it.
func TestRefusalsEndWithTheBurst(t *testing.T) {
	is := is.NewRelaxed(t)
	x := newEntriesTrial(45, true)
	out := x.play(25*time.Second, func(now time.Duration) float64 {
		if now < 10*time.Second {
			return 3
		}
		return 0.5
	})
	t.Logf("%+v", out)
	is.True(out.refused > 0)
	is.True(out.lastRefusal < 12*time.Second)
	is.True(x.urgent < 0.5)
	is.Equal(out.falseRefusals, 0)
}
