package entry

import (
	"context"
	"crypto/subtle"
	"errors"
	"slices"
	"time"

	"plantainwinch/state/config"
	"plantainwinch/state/swap"
	"plantainwinch/winch"
)

// changeTime bounds a change of the configuration. Where the answer to its write
// was lost, the store is asked whether it took effect; if the store stays away the
// operator is told that it may have, and does not wait for ever.
const changeTime = 20 * time.Second

// Applied is the answer to a change of the configuration.
type Applied struct {
	Version   uint64
	Unchanged bool `json:",omitempty"`
	// Confirmed lists the entries in which the version is in force, Missing the
	// live ones from which that is not known yet.
	Confirmed []string
	Missing   []string `json:",omitempty"`
	InForce   bool
}

// confirmWait bounds how long a change waits for all entries to confirm it.
const confirmWait = 5 * time.Second

// confirmPoll is the pause between two looks at what they confirmed.
const confirmPoll = 20 * time.Millisecond

// Actor is who makes a change.
type Actor struct {
	Name string
	Role winch.KeyRole
	// Service is the one whose owner the actor is.
	Service string
}

// Operator checks a presented key for operators' and owners' actions. The first
// operator's key is in the settings, so that a new cell can be set up.
func (e *Entry) Operator(presented string) (Actor, winch.Result) {
	hash := config.HashKey(presented)
	if subtle.ConstantTimeCompare([]byte(hash), []byte(e.Settings.Cell.OperatorKeyHash)) == 1 {
		return Actor{Name: "operator", Role: winch.KeyOperator}, winch.Result{}
	}
	if doc := e.held.Get(); doc != nil {
		key, ok := config.FindKey(doc, presented)
		switch {
		case ok && key.Role == winch.KeyOperator:
			return Actor{Name: key.Holder, Role: key.Role}, winch.Result{}
		case ok && key.Role == winch.KeyOwner:
			return Actor{Name: "owner of " + key.Holder, Role: key.Role, Service: key.Holder}, winch.Result{}
		}
	}
	return Actor{}, winch.Refuse(winch.UnknownKey, "the key is no operator's or owner's key")
}

// Document returns the configuration as this entry has it in force.
func (e *Entry) Document() (*winch.Document, winch.Result) {
	return e.document()
}

// Change writes a change of the configuration and waits until it is in force in
// all live entries, or reports which have not confirmed it.
func (e *Entry) Change(ctx context.Context, actor Actor, base uint64, change config.Change) (Applied, winch.Result) {
	ctx, cancel := context.WithTimeout(ctx, changeTime)
	defer cancel()
	doc, err := e.editor.Edit(ctx, actor.Name, base, change)
	var lost *config.Lost
	switch {
	case errors.Is(err, swap.ErrUnchanged):
		return Applied{Version: e.held.Version(), Unchanged: true, InForce: true}, winch.Result{}
	case errors.As(err, &lost):
		return Applied{}, winch.Refuse(winch.VersionConflict, lost.Error())
	case errors.Is(err, config.ErrBad):
		return Applied{}, winch.Refuse(winch.BadRequest, err.Error())
	case errors.Is(err, winch.ErrUncertain):
		return Applied{}, winch.Uncertain(winch.StoreUnavailable, "the change may have been written: look at the audit trail")
	case err != nil:
		return Applied{}, winch.RefuseFor(winch.StoreUnavailable, "the change was not written: "+err.Error(), time.Second)
	}
	e.offer(ctx, &doc)
	return e.confirm(ctx, doc.Version), winch.Result{}
}

// confirm waits until all live entries have a version in force.
func (e *Entry) confirm(ctx context.Context, version uint64) Applied {
	until := time.Now().Add(confirmWait)
	for {
		out := e.confirmed(version)
		if out.InForce || time.Now().After(until) || !wait(ctx, confirmPoll) {
			return out
		}
	}
}

func (e *Entry) confirmed(version uint64) Applied {
	out := Applied{Version: version, Confirmed: []string{e.Name()}}
	view := e.members.View()
	for name, p := range view.Peers {
		if p.Beat.Config >= version {
			out.Confirmed = append(out.Confirmed, name)
		} else {
			out.Missing = append(out.Missing, name)
		}
	}
	for _, vm := range view.WithRole(winch.RoleEntry) {
		if _, live := view.Peers[vm.ID]; !live && vm.ID != e.Name() {
			out.Missing = append(out.Missing, vm.ID)
		}
	}
	slices.Sort(out.Confirmed)
	slices.Sort(out.Missing)
	out.InForce = len(out.Missing) == 0
	return out
}

// IssueKey makes a key for a team, an owner or an operator. The key itself is
// in this answer only.
func (e *Entry) IssueKey(ctx context.Context, actor Actor, role winch.KeyRole, holder string) (string, Applied, winch.Result) {
	secret, key := config.NewKey()
	key.Role, key.Holder, key.Issued = role, holder, time.Now().UTC()
	applied, r := e.Change(ctx, actor, 0, config.AddKey(key))
	if !r.OK() {
		return "", applied, r
	}
	return secret, applied, r
}

// Plan returns what a declaration would change, without changing it.
func (e *Entry) Plan(ctx context.Context, d config.Declared) (uint64, []winch.Audit, winch.Result) {
	cur, err := swap.Read[winch.Document](ctx, e.Store, config.Key)
	if err != nil {
		return 0, nil, winch.RefuseFor(winch.StoreUnavailable, "the configuration cannot be read", time.Second)
	}
	lines, err := d.Plan(&cur.Body)
	if err != nil {
		return 0, nil, winch.Refuse(winch.BadRequest, err.Error())
	}
	return cur.Body.Version, lines, winch.Result{}
}

// Trail returns the audit trail.
func (e *Entry) Trail(ctx context.Context) ([]winch.Audit, winch.Result) {
	trail, err := e.editor.Trail(ctx)
	if err != nil {
		return nil, winch.RefuseFor(winch.StoreUnavailable, "the audit trail cannot be read", time.Second)
	}
	return trail, winch.Result{}
}
