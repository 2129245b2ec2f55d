package cell

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"plantainwinch/entry"
	"plantainwinch/state/config"
	"plantainwinch/winch"
)

// Classes of the cell's configuration.
const (
	ClassPreview = "preview" // ClassPreview is for calls that the caller waits for and that are repeatable.
	ClassInvoice = "invoice" // ClassInvoice is for calls that the caller waits for and that run at most once.
	ClassMix     = "mix"     // ClassMix is for deferred jobs that are repeatable and preemptible.
	ClassBilled  = "billed"  // ClassBilled is for deferred jobs whose tasks run at most once.
	ClassRoom    = "room"    // ClassRoom is for long-running services.
)

// teamCount is the number of teams. The first two have a larger share and limit.
const teamCount = 6

// TeamName returns the name of the team with index i.
func TeamName(i int) string { return fmt.Sprintf("team-%d", i+1) }

// Declared returns the configuration of teams, classes and services for a cell of
// ProductionSize.
func Declared() config.Declared {
	d := config.Declared{
		Teams: make(map[string]winch.Team), Classes: make(map[string]winch.Class),
		Services: map[string]winch.Service{Service: {Name: Service, MaxBody: 64 << 20}},
	}
	for i := range teamCount {
		share := 1
		if i < 2 {
			share = 4
		}
		d.Teams[TeamName(i)] = winch.Team{Name: TeamName(i), Share: share, Limit: 150 * share, CutOffTrust: 10 * time.Minute}
	}
	for _, c := range []winch.Class{
		{Name: ClassPreview, Wait: 4 * time.Second, Repeatable: true, MaxRun: 30 * time.Second},
		{Name: ClassInvoice, Wait: 4 * time.Second, MaxRun: 30 * time.Second},
		{Name: ClassMix, By: "06:00", Repeatable: true, Preemptible: true, MaxRun: 4 * time.Hour},
		{Name: ClassBilled, By: "06:00", MaxRun: 4 * time.Hour},
		{Name: ClassRoom, Wait: 30 * time.Second, Repeatable: true, MaxRun: 24 * time.Hour},
	} {
		d.Classes[c.Name] = c
	}
	return d
}

// Keys are the keys that Configure issues: one for each team, by name, and the service
// owner's.
type Keys struct {
	Teams map[string]string
	Owner string
}

// Configure applies the configuration, issues a key for each team and one for the owner of
// the service, and approves all teams but the last for the service.
func (c *Cell) Configure(ctx context.Context) (Keys, error) {
	e := c.Servers[0].Entry
	operator := entry.Actor{Name: "operator", Role: winch.KeyOperator}
	keys := Keys{Teams: make(map[string]string)}
	d := Declared()
	if _, r := e.Change(ctx, operator, 0, d.Change()); !r.OK() {
		return keys, merry.New(r.Detail)
	}
	for name := range d.Teams {
		key, _, r := e.IssueKey(ctx, operator, winch.KeyTeam, name)
		if !r.OK() {
			return keys, merry.New(r.Detail)
		}
		keys.Teams[name] = key
	}
	key, _, r := e.IssueKey(ctx, operator, winch.KeyOwner, Service)
	if !r.OK() {
		return keys, merry.New(r.Detail)
	}
	keys.Owner = key
	owner, _ := e.Operator(key)
	for i := range teamCount - 1 {
		if _, r := e.Change(ctx, owner, 0, config.Approve(Service, TeamName(i), true)); !r.OK() {
			return keys, merry.New(r.Detail)
		}
	}
	return keys, nil
}

// Withdraw withdraws a key and waits until all entries reject it or the time to confirm has passed.
func (c *Cell) Withdraw(ctx context.Context, key string) winch.Result {
	id, _, _ := strings.Cut(key, ".")
	operator := entry.Actor{Name: "operator", Role: winch.KeyOperator}
	_, r := c.Servers[0].Entry.Change(ctx, operator, 0, config.WithdrawKey(id))
	return r
}
