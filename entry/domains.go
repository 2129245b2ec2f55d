package entry

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"plantainwinch/state/config"
	"plantainwinch/winch"
)

// evacuatedLoad is added to the load of an evacuated domain, so that any other one is preferred for a job.
const evacuatedLoad = 1e6

// DomainState is whether work is given to a failure domain.
type DomainState string

// States of failure domains.
const (
	DomainInService DomainState = "InService"
	DomainEvacuated DomainState = "Evacuated"
)

// DomainInfo describes a failure domain to an operator.
type DomainInfo struct {
	Name  string
	State DomainState
	// Since is when the domain was evacuated; it is zero for one that is in service.
	Since     time.Time `json:",omitzero"`
	Entries   int
	Workers   int
	Executors int
	// Tasks and Calls count what runs there, Waiting the tasks that wait there.
	Tasks   int
	Calls   int
	Waiting int
}

// evacuatedSince returns since when a failure domain is evacuated, and whether it is.
func (e *Entry) evacuatedSince(domain string) (time.Time, bool) {
	doc := e.config.Get()
	if doc == nil {
		return time.Time{}, false
	}
	since, evacuated := doc.Evacuated[domain]
	return since, evacuated
}

func (e *Entry) evacuated(domain string) bool {
	_, evacuated := e.evacuatedSince(domain)
	return evacuated
}

// SetDomain evacuates or restores a failure domain.
func (e *Entry) SetDomain(ctx context.Context, actor Actor, name string, state DomainState) (Applied, winch.Result) {
	if r := e.checkDomain(name); !r.OK() {
		return Applied{}, r
	}
	if state == DomainEvacuated {
		return e.Change(ctx, actor, 0, config.Evacuate(name))
	}
	return e.Change(ctx, actor, 0, config.Restore(name))
}

// checkDomain refuses the name of a domain that neither has VMs or entries nor is evacuated. An evacuated domain whose
// VMs have all gone can still be restored.
func (e *Entry) checkDomain(name string) winch.Result {
	known := e.members.View().KnownDomains()
	if slices.Contains(known, name) || e.evacuated(name) {
		return winch.Result{}
	}
	return winch.Refuse(winch.BadRequest, "failure domain \""+name+"\" is not known; known are "+strings.Join(known, ", "))
}

// Domains returns the failure domains that have VMs or entries or are evacuated, by name.
func (e *Entry) Domains(ctx context.Context) []DomainInfo {
	view := e.members.View()
	infos := make(map[string]*DomainInfo)
	info := func(name string) *DomainInfo {
		if infos[name] == nil {
			infos[name] = &DomainInfo{Name: name, State: DomainInService}
		}
		return infos[name]
	}
	for _, vm := range view.VMs {
		d := info(vm.Domain)
		switch vm.Role {
		case winch.RoleWorker:
			d.Workers++
		case winch.RoleExecutor:
			d.Executors++
		}
	}
	for name, b := range e.heartbeats(ctx) {
		d := info(b.Domain)
		d.Entries++
		for _, l := range b.Loads {
			d.Calls += l.Busy + l.Draining
		}
		if b.Office != nil && b.Placer == name {
			d.Tasks, d.Waiting = b.Office.Running, b.Office.Waiting
		}
	}
	if doc := e.config.Get(); doc != nil {
		for name, since := range doc.Evacuated {
			d := info(name)
			d.State, d.Since = DomainEvacuated, since
		}
	}
	out := make([]DomainInfo, 0, len(infos))
	for _, name := range slices.Sorted(maps.Keys(infos)) {
		out = append(out, *infos[name])
	}
	return out
}
