package entry

import (
	"slices"
	"time"

	"plantainwinch/state/config"
	"plantainwinch/winch"
)

// caller is the key and the team that a request comes from, and the class of the request.
type caller struct {
	key   winch.Key
	team  winch.Team
	class winch.Class
}

// document returns the configuration, or a refusal if this entry has not received one yet.
func (e *Entry) document() (*winch.Document, winch.Result) {
	doc := e.config.Get()
	if doc == nil {
		return nil, winch.RefuseFor(winch.NoConfiguration, "this entry has not received the configuration yet", time.Second)
	}
	return doc, winch.Result{}
}

// identify returns the key record and the team of a presented key. In a partitioned domain, a key may have been
// withdrawn without this entry knowing, so keys remain valid there only for the team's CutOffTrust.
func (e *Entry) identify(doc *winch.Document, presented string) (winch.Key, winch.Team, winch.Result) {
	key, ok := config.FindKey(doc, presented)
	if !ok || key.Role != winch.KeyTeam {
		return key, winch.Team{}, winch.Refuse(winch.UnknownKey, "the key is not known, or was withdrawn; give it as Authorization: Bearer KEY")
	}
	team, ok := doc.Teams[key.Holder]
	if !ok {
		return key, team, winch.Refuse(winch.UnknownKey, "the key's team "+key.Holder+" does not exist")
	}
	if partitioned := e.partitionedFor(); partitioned > 0 && partitioned > team.CutOffTrust {
		return key, team, winch.RefuseFor(winch.StoreUnavailable, "this failure domain is cut off, so that a withdrawal of the key could not be known", time.Second)
	}
	return key, team, winch.Result{}
}

// updateKeysCurrent records the present time in keysCurrent if this entry would learn of a withdrawn key now: either it
// or a peer reaches the store, or it reaches entries of all other domains, so that no operator can have withdrawn a key
// on the other side of a network partition.
func (e *Entry) updateKeysCurrent() {
	view := e.members.View()
	domains := map[string]bool{e.Domain(): true}
	storeReached := e.storeContact.within(memberLease)
	for _, p := range view.Peers {
		domains[p.Beat.Domain] = true
		storeReached = storeReached || p.Beat.Store
	}
	for _, vm := range view.VMs {
		if !storeReached && !domains[vm.Domain] {
			return
		}
	}
	e.keysCurrent.record(time.Now())
}

// partitionedFor returns for how long this entry may have missed a withdrawn key, zero if it is not partitioned.
func (e *Entry) partitionedFor() time.Duration {
	if age := e.keysCurrent.age(); age > minPartitionTime {
		return age
	}
	return 0
}

// minPartitionTime is how long an entry must be out of contact before its domain counts as partitioned. Shorter
// interruptions occur in normal operation.
const minPartitionTime = 10 * time.Second

// admit returns the caller that a presented key belongs to, or a refusal, for example if the class does not exist or
// the entry is stopping.
func (e *Entry) admit(presented, class string) (caller, winch.Result) {
	if e.stopping.Load() {
		return caller{}, winch.RefuseFor(winch.Stopping, "this entry is stopping; ask again, another one will answer", time.Second)
	}
	doc, r := e.document()
	if !r.OK() {
		return caller{}, r
	}
	key, team, r := e.identify(doc, presented)
	if !r.OK() {
		return caller{}, r
	}
	c, ok := doc.Classes[class]
	if !ok {
		return caller{}, winch.Refuse(winch.UnknownClass, "class "+quote(class)+" is not declared; name one in the header Winch-Class")
	}
	return caller{key: key, team: team, class: c}, winch.Result{}
}

func quote(s string) string { return "\"" + s + "\"" }

// approved returns a service, or a refusal if it does not exist or its owner has not approved the team.
func (e *Entry) approved(name string, team winch.Team) (winch.Service, winch.Result) {
	doc, r := e.document()
	if !r.OK() {
		return winch.Service{}, r
	}
	service, ok := doc.Services[name]
	if !ok {
		return service, winch.Refuse(winch.UnknownService, "service "+quote(name)+" is not declared")
	}
	if _, ok := slices.BinarySearch(service.Approved, team.Name); !ok {
		return service, winch.Refuse(winch.NotApproved, "the owner of service "+name+" has not approved team "+team.Name)
	}
	return service, winch.Result{}
}

// keyValid reports whether a key is still in the configuration. It is checked again right before work starts, since the
// key may have been withdrawn while the request waited.
func (e *Entry) keyValid(keyID string) bool {
	doc := e.config.Get()
	if doc == nil {
		return false
	}
	_, ok := doc.Keys[keyID]
	return ok
}
