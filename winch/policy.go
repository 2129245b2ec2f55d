package winch

import (
	"reflect"
	"slices"
	"strings"

	"github.com/ansel1/merry/v2"
)

// Policy selects the mechanisms by which the planner decides in which order and where tasks run.
// Each can be switched off separately to measure its effect.
type Policy struct {
	// LastCall ranks a job that has missed its objective by the time left until its caller stops
	// waiting.
	LastCall bool
	// PackAccelerators places tasks that need accelerators where the fewest are free, so that
	// whole workers stay free for tasks that need all accelerators of one.
	PackAccelerators bool
	// Reserve reserves capacity for gangs and large tasks that wait for it.
	Reserve bool
	// AskAll requests advice about all workers at once where that costs little more than about
	// some, since which workers may run a phase does not change.
	AskAll bool
	// Restart restarts tasks elsewhere that are stuck or much slower than others.
	Restart bool
	// UrgentRoom reserves capacity for urgent work.
	UrgentRoom bool
	// Shares ranks jobs that a team submits beyond its share behind other work.
	Shares bool
	// Chance ranks urgent work that cannot meet its objective behind work that can.
	Chance bool
	// LateLast ranks jobs whose callers no longer wait behind all others.
	LateLast bool
	// Ahead requests advice about a phase while the preceding phases run.
	Ahead bool
	// HomeDomain starts the tasks of a job in one failure domain while it has capacity.
	HomeDomain bool
	// WarmFirst prefers workers that are not slow after their start.
	WarmFirst bool
	// Moves moves lasting tasks away from workers that are about to leave.
	Moves bool
	// Isolate starts tasks under which a worker crashed separately from others, and gives up those
	// that then crash another worker. Without it, each task counts the crashes of all workers that
	// it ran on.
	Isolate bool
	// Speeds learns how fast workers are, and places, forecasts and compares runs by it.
	Speeds bool
	// Copies starts a second run of a straggling task where its phase permits overlapping runs.
	Copies bool
	// Evict stops runs that save their progress if an urgent job is then on time.
	Evict bool
	// FairShares ranks waiting work by the shares of teams while a service is full.
	FairShares bool
	// Admit refuses jobs that could not end while their callers still wait.
	Admit bool
	// Order selects the order of waiting work while a service is full.
	Order Order
}

// Order is an order of waiting work of the same class while a service is full.
type Order string

// Orders of waiting work.
const (
	// OrderSlack puts the phase with the least spare time first.
	OrderSlack Order = "Slack"
	// OrderLeastWork puts the job with the least remaining work first, among those that can be on time.
	OrderLeastWork Order = "LeastWork"
	// OrderDeficit puts the team first that is furthest below its share.
	OrderDeficit Order = "Deficit"
	// OrderMixed combines the three.
	OrderMixed Order = "Mixed"
)

// Orders returns all orders.
func Orders() []Order {
	return []Order{OrderSlack, OrderLeastWork, OrderDeficit, OrderMixed}
}

// DefaultPolicy returns the policy used in production: all mechanisms enabled.
func DefaultPolicy() Policy {
	return Policy{
		LastCall: true, PackAccelerators: true, Reserve: true, AskAll: true, Restart: true,
		UrgentRoom: true, Shares: true, Chance: true, LateLast: true, Moves: true, Ahead: true, Isolate: true, HomeDomain: true, WarmFirst: true,
		Speeds: true, Copies: true, Evict: true, FairShares: true, Admit: true, Order: OrderSlack,
	}
}

// Mechanisms returns the names of all mechanisms, in the order of the fields of Policy.
func Mechanisms() []string {
	t := reflect.TypeFor[Policy]()
	out := make([]string, 0, t.NumField())
	for i := range t.NumField() {
		if t.Field(i).Type.Kind() == reflect.Bool {
			out = append(out, t.Field(i).Name)
		}
	}
	return out
}

// Without returns the policy with a mechanism switched off, or an error that lists the mechanisms
// if the name is unknown.
func (p Policy) Without(name string) (Policy, error) {
	if !slices.Contains(Mechanisms(), name) {
		return p, merry.Errorf("no mechanism %q: name one of %s", name, strings.Join(Mechanisms(), ", "))
	}
	reflect.ValueOf(&p).Elem().FieldByName(name).SetBool(false)
	return p, nil
}
