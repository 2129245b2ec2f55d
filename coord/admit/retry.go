package admit

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// minRetry is the shortest time that Retry-After can express. maxRetry bounds it: jobs of urgent
	// queues run for seconds, and nobody knows the load much later.
	minRetry = time.Second
	maxRetry = 30 * time.Second
	// maxTeamTurns bounds the additional time by which the teams' callers are told to come back one
	// after the other.
	maxTeamTurns = 4 * time.Second
	// retrySpread is the range over which callers of one team are spread.
	retrySpread = 2 * time.Second
	// refusalMemory is how long a refusal counts, and maxTeamsKept how many teams are remembered.
	refusalMemory = 20 * time.Second
	maxTeamsKept  = 256
)

// gateTeam is what a gate knows of a team's jobs.
type gateTeam struct {
	name string
	// credit is the accumulated fraction of jobs within the weight, counting says that it is in use.
	credit   float64
	counting bool
	// refusedSince is when the present series of refusals began, refusedAt when the last was.
	refusedSince, refusedAt time.Time
	served                  Rate
	usedAt                  time.Time
}

// within reports whether the team's next job, with the given ID, is within its weight if the given
// fraction of its jobs is. The first decision at each entry depends on the ID, so that entries which get
// few jobs of a team do not all take them for within the weight, or all for beyond it.
func (t *gateTeam) within(fraction float64, id string) bool {
	if fraction >= 1 {
		t.counting = false
		return true
	}
	if !t.counting {
		t.counting, t.credit = true, idFraction(id)
	}
	t.credit += fraction
	if t.credit < 1 {
		return false
	}
	t.credit--
	return true
}

func (t *gateTeam) refuse(now time.Time) {
	if !t.refusedRecently(now) {
		t.refusedSince = now
	}
	t.refusedAt = now
}

func (t *gateTeam) refusedRecently(now time.Time) bool {
	return !t.refusedAt.IsZero() && now.Sub(t.refusedAt) < refusalMemory
}

// team returns the record of a team. It forgets the team that was not used for longest if there are too
// many.
func (g *Gate) team(name string, now time.Time) *gateTeam {
	t := g.teams[name]
	if t == nil {
		if g.teams == nil {
			g.teams = make(map[string]*gateTeam)
		}
		if len(g.teams) >= maxTeamsKept {
			g.forgetTeam()
		}
		t = &gateTeam{name: name}
		g.teams[name] = t
	}
	t.usedAt = now
	return t
}

func (g *Gate) forgetTeam() {
	oldest := ""
	for name, t := range g.teams {
		if oldest == "" || cmp.Or(t.usedAt.Compare(g.teams[oldest].usedAt), cmp.Compare(name, oldest)) < 0 {
			oldest = name
		}
	}
	delete(g.teams, oldest)
}

// retryAfter returns when the caller of a refused job should come back, in whole seconds: not before the
// forecast is short enough again, the teams in turn, and the callers of each team spread by their IDs.
func (g *Gate) retryAfter(id string, t *gateTeam, excess time.Duration, now time.Time) time.Duration {
	turn, turns := g.turn(t, now)
	d := excess
	if turns > 1 {
		d += maxTeamTurns * time.Duration(turn) / time.Duration(turns)
	}
	d += time.Duration(idFraction(id) * float64(retrySpread))
	seconds := math.Ceil(d.Seconds())
	return min(maxRetry, max(minRetry, time.Duration(seconds)*time.Second))
}

// idFraction returns a number from zero to one that depends on an ID only.
func idFraction(id string) float64 { return float64(Hash(id)) / (1 << 32) }

// turn returns the position of a team among those that were refused recently, and their number: the team
// that has been refused for longest comes first, of several the one that was served least.
func (g *Gate) turn(t *gateTeam, now time.Time) (position, count int) {
	var refused []*gateTeam
	for _, x := range g.teams {
		if x.refusedRecently(now) {
			refused = append(refused, x)
		}
	}
	slices.SortFunc(refused, func(a, b *gateTeam) int {
		return cmp.Or(a.refusedSince.Truncate(time.Second).Compare(b.refusedSince.Truncate(time.Second)),
			cmp.Compare(a.served.PerSecond(now), b.served.PerSecond(now)), cmp.Compare(a.name, b.name))
	})
	return slices.Index(refused, t), len(refused)
}
