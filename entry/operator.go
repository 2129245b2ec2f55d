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

// changeTimeout bounds a change of the configuration. If the response to the write is lost, the store is read to find
// out whether the write took effect. If the store stays unreachable until the timeout, the operator gets the result that
// the change may have been written, instead of waiting forever.
const changeTimeout = 20 * time.Second

// Applied is the response to a change of the configuration.
type Applied struct {
	Version   uint64
	Unchanged bool `json:",omitempty"`
	// Confirmed lists the entries that have applied the version, Missing those that have not confirmed it yet.
	Confirmed []string
	Missing   []string `json:",omitempty"`
	InForce   bool     // InForce says that no entry is missing.
}

// confirmTimeout bounds how long a change waits until all entries have confirmed it.
const confirmTimeout = 5 * time.Second

// confirmPollInterval is the interval at which the confirmations are checked.
const confirmPollInterval = 20 * time.Millisecond

// Actor is who makes a change.
type Actor struct {
	Name string
	Role winch.KeyRole
	// Service is the service that the actor owns; it is empty for operators.
	Service string
}

// Operator returns the operator or service owner that a presented key belongs to. The hash of the first operator's key
// is in the settings, so that a new cell can be set up.
func (e *Entry) Operator(presented string) (Actor, winch.Result) {
	hash := config.HashKey(presented)
	if subtle.ConstantTimeCompare([]byte(hash), []byte(e.Settings.Cell.OperatorKeyHash)) == 1 {
		return Actor{Name: "operator", Role: winch.KeyOperator}, winch.Result{}
	}
	if doc := e.config.Get(); doc != nil {
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

// Document returns the configuration that this entry applies.
func (e *Entry) Document() (*winch.Document, winch.Result) {
	return e.document()
}

// Change writes a change of the configuration and waits until all entries have applied it, or reports which have not
// confirmed it in time.
func (e *Entry) Change(ctx context.Context, actor Actor, base uint64, change config.Change) (Applied, winch.Result) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	doc, err := e.editor.Edit(ctx, actor.Name, base, change)
	var conflict *config.ConflictError
	switch {
	case errors.Is(err, swap.ErrUnchanged):
		return Applied{Version: e.config.Version(), Unchanged: true, InForce: true}, winch.Result{}
	case errors.As(err, &conflict):
		return Applied{}, winch.Refuse(winch.VersionConflict, conflict.Error())
	case errors.Is(err, config.ErrInvalid):
		return Applied{}, winch.Refuse(winch.BadRequest, err.Error())
	case errors.Is(err, winch.ErrUncertain):
		return Applied{}, winch.Uncertain(winch.StoreUnavailable, "the change may have been written: look at the audit trail")
	case err != nil:
		return Applied{}, winch.RefuseFor(winch.StoreUnavailable, "the change was not written: "+err.Error(), time.Second)
	}
	e.applyConfig(ctx, &doc)
	return e.awaitConfirmation(ctx, doc.Version), winch.Result{}
}

// awaitConfirmation waits until all entries have applied a version, at most for confirmTimeout.
func (e *Entry) awaitConfirmation(ctx context.Context, version uint64) Applied {
	until := time.Now().Add(confirmTimeout)
	for {
		out := e.confirmations(version)
		if out.InForce || time.Now().After(until) || !sleep(ctx, confirmPollInterval) {
			return out
		}
	}
}

// confirmations returns which entries have applied a version.
func (e *Entry) confirmations(version uint64) Applied {
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

// IssueKey creates a key for a team, an owner or an operator. Only this response contains the key itself; the
// configuration stores its hash.
func (e *Entry) IssueKey(ctx context.Context, actor Actor, role winch.KeyRole, holder string) (string, Applied, winch.Result) {
	secret, key := config.NewKey()
	key.Role, key.Holder, key.Issued = role, holder, time.Now().UTC()
	applied, r := e.Change(ctx, actor, 0, config.AddKey(key))
	if !r.OK() {
		return "", applied, r
	}
	return secret, applied, r
}

// Plan returns the version of the configuration and the changes that a declaration would make, without making them.
func (e *Entry) Plan(ctx context.Context, d config.Declared) (uint64, []winch.Audit, winch.Result) {
	current, err := swap.Read[winch.Document](ctx, e.Store, config.Key)
	if err != nil {
		return 0, nil, winch.RefuseFor(winch.StoreUnavailable, "the configuration cannot be read", time.Second)
	}
	lines, err := d.Plan(&current.Body)
	if err != nil {
		return 0, nil, winch.Refuse(winch.BadRequest, err.Error())
	}
	return current.Body.Version, lines, winch.Result{}
}

// Trail returns the audit trail of the configuration.
func (e *Entry) Trail(ctx context.Context) ([]winch.Audit, winch.Result) {
	trail, err := e.editor.Trail(ctx)
	if err != nil {
		return nil, winch.RefuseFor(winch.StoreUnavailable, "the audit trail cannot be read", time.Second)
	}
	return trail, winch.Result{}
}
