package entry

import (
	"context"
	"slices"
	"strings"

	"plantainwinch/proto"
	"plantainwinch/winch"
)

// CellStatus is the status of the cell as one entry knows it.
type CellStatus struct {
	Entry   string
	Config  uint64
	Store   bool // Store says that this entry has reached the store within the member lease.
	Entries []MemberStatus
	Domains []DomainStatus
	Teams   []TeamStatus
}

// MemberStatus is the status of a live entry.
type MemberStatus struct {
	Name    string
	Domain  string
	Config  uint64
	Leaving bool `json:",omitempty"`
	Loads   []LoadStatus
}

// LoadStatus is the load of a service's executors that have the same home entry.
type LoadStatus struct {
	Service string
	Slots   int
	Busy    int
	Queued  int
}

// DomainStatus is the status of a failure domain.
type DomainStatus struct {
	Name    string
	Placer  string
	Epoch   uint64
	Size    winch.Resources
	Used    winch.Resources
	Waiting int
}

// TeamStatus is the status of a team over the whole cell.
type TeamStatus struct {
	Name    string
	Running int
	Waiting int
	Limit   int
	Share   int
}

// Status returns the status of the cell, combined from this entry's heartbeat and the last ones of its peers.
func (e *Entry) Status(ctx context.Context) CellStatus {
	beats := e.heartbeats(ctx)
	out := CellStatus{Entry: e.Name(), Config: e.config.Version(), Store: beats[e.Name()].Store}
	domains := make(map[string]*DomainStatus)
	teams := e.teamStatuses()
	for name, b := range beats {
		out.Entries = append(out.Entries, memberStatus(name, b))
		addDomain(domains, name, b)
		for _, u := range b.Teams {
			if t := teams[u.Team]; t != nil {
				t.Running += u.Running
				t.Waiting += u.Want
			}
		}
	}
	for _, d := range domains {
		out.Domains = append(out.Domains, *d)
	}
	for _, t := range teams {
		out.Teams = append(out.Teams, *t)
	}
	slices.SortFunc(out.Entries, func(a, b MemberStatus) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(out.Domains, func(a, b DomainStatus) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(out.Teams, func(a, b TeamStatus) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// heartbeats returns this entry's heartbeat and the last ones of its live peers, by entry.
func (e *Entry) heartbeats(ctx context.Context) map[string]proto.Heartbeat {
	own := e.heartbeat(ctx)
	own.Domain = e.Domain()
	own.Leaving = e.draining.Load()
	out := map[string]proto.Heartbeat{e.Name(): own}
	for name, p := range e.members.View().Peers {
		out[name] = p.Beat
	}
	return out
}

// teamStatuses returns a status for each team of the configuration, without its usage.
func (e *Entry) teamStatuses() map[string]*TeamStatus {
	out := make(map[string]*TeamStatus)
	if doc := e.config.Get(); doc != nil {
		for name, t := range doc.Teams {
			out[name] = &TeamStatus{Name: name, Limit: t.Limit, Share: t.Share}
		}
	}
	return out
}

func memberStatus(name string, b proto.Heartbeat) MemberStatus {
	s := MemberStatus{Name: name, Domain: b.Domain, Config: b.Config, Leaving: b.Leaving}
	for _, l := range b.Loads {
		s.Loads = append(s.Loads, LoadStatus{Service: l.Service, Slots: l.Slots, Busy: l.Busy, Queued: l.Queued})
	}
	return s
}

// addDomain adds what a heartbeat reports about its domain. The heartbeat with the latest epoch names the planner.
func addDomain(domains map[string]*DomainStatus, name string, b proto.Heartbeat) {
	d := domains[b.Domain]
	if d == nil {
		d = &DomainStatus{Name: b.Domain}
		domains[b.Domain] = d
	}
	if b.Epoch >= d.Epoch {
		d.Placer, d.Epoch = b.Placer, b.Epoch
	}
	if b.Office != nil && b.Placer == name {
		d.Size, d.Used, d.Waiting = b.Office.Size, b.Office.Used, b.Office.Waiting
	}
}
