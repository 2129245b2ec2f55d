package config

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"plantainwinch/stand"
	"plantainwinch/winch"
)

func declareTeam(name string, limit int) Declared {
	return Declared{Teams: map[string]winch.Team{name: {Name: name, Share: 1, Limit: limit}}}
}

// Guards against one operator overwriting another's change: both edit the same
// version, and the second must get an error that names the change since then.
func TestEditOfOutdatedVersionIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := Editor{Store: &stand.Platform{}}
		_, err := e.Edit(context.Background(), "ana", 0, declareTeam("choir", 4).Change())
		is.NoErr(err)
		_, err = e.Edit(context.Background(), "ben", 1, declareTeam("choir", 5).Change())
		is.NoErr(err)
		_, err = e.Edit(context.Background(), "ana", 1, declareTeam("choir", 6).Change())
		var conflict *ConflictError
		is.True(errors.As(err, &conflict))
		is.True(strings.Contains(err.Error(), "version 2 by ben: change Team choir"))
		is.Equal(conflict.Current, uint64(2))
	})
}

// Guards against a change being applied twice after the store's response to the
// write is lost: it must be in the document and in the audit trail exactly once.
func TestEditIsAppliedOnceAfterLostResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := &stand.Platform{}
		e := Editor{Store: p}
		p.SetFaults(stand.Faults{LoseReplies: 1, LosePrefix: Key})
		doc, err := e.Edit(context.Background(), "ana", 0, declareTeam("choir", 4).Change())
		is.NoErr(err)
		is.Equal(doc.Version, uint64(1))
		trail, err := e.Trail(context.Background())
		is.NoErr(err)
		is.Equal(len(trail), 1)
		is.Equal(trail[0].Actor, "ana")
	})
}

// Guards against audit records being lost or duplicated when the oldest ones are
// archived under keys of their own.
func TestArchivedTrailIsComplete(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := Editor{Store: &stand.Platform{}}
		const changes = maxTrail + archiveBatch + 7
		for i := range changes {
			_, err := e.Edit(context.Background(), "ana", 0, declareTeam("choir", i+1).Change())
			is.NoErr(err)
		}
		trail, err := e.Trail(context.Background())
		is.NoErr(err)
		is.Equal(len(trail), changes)
		for i, record := range trail {
			is.Equal(record.Version, uint64(i+1))
		}
	})
}

// Guards against an entry adopting an older document, which arrives when the store
// was restored from an old copy or a message was delayed.
func TestLatestRejectsOlderDocument(t *testing.T) {
	is := is.New(t)
	var l Latest
	is.True(l.Offer(&winch.Document{Version: 5}))
	is.Equal(l.Offer(&winch.Document{Version: 4}), false)
	is.Equal(l.Offer(&winch.Document{Version: 5}), false)
	is.Equal(l.Version(), uint64(5))
	is.Equal(l.Outdated.Load(), int64(1))
}

// Guards against a key being accepted when only part of it is presented, and
// against its secret being stored in the document.
func TestFindKey(t *testing.T) {
	is := is.New(t)
	secret, key := NewKey()
	doc := &winch.Document{Keys: map[string]winch.Key{key.ID: key}}
	_, ok := FindKey(doc, secret)
	is.True(ok)
	for _, wrong := range []string{"", key.ID, key.ID + ".", secret + "x", secret[:len(secret)-1]} {
		_, ok := FindKey(doc, wrong)
		is.Equal(ok, false)
	}
	is.Equal(strings.Contains(fmt.Sprint(doc), secret), false)
}

// Guards against invalid declarations being accepted.
func TestInvalidDeclarationsAreRefused(t *testing.T) {
	for _, d := range []Declared{
		{Teams: map[string]winch.Team{"x": {Name: "x", Share: 0}}},
		{Teams: map[string]winch.Team{"x": {Name: "x", Share: 1, Limit: -1}}},
		{Teams: map[string]winch.Team{"X y": {Name: "X y", Share: 1}}},
		{Classes: map[string]winch.Class{"x": {Name: "x", MaxRun: 1}}},
		{Classes: map[string]winch.Class{"x": {Name: "x", Wait: 1, By: "06:00", MaxRun: 1}}},
		{Classes: map[string]winch.Class{"x": {Name: "x", By: "26:00", MaxRun: 1}}},
		{Classes: map[string]winch.Class{"x": {Name: "x", Wait: 1}}},
		{Remove: []Named{{"Host", "x"}}},
	} {
		_, err := d.Plan(&winch.Document{})
		if !errors.Is(err, ErrInvalid) {
			t.Errorf("%+v: got %v", d, err)
		}
	}
}

// Guards against a team inheriting the keys and approvals of a removed team when
// it is declared later under the same name.
func TestRemovedTeamLosesKeysAndApprovals(t *testing.T) {
	is := is.New(t)
	doc := &winch.Document{}
	initMaps(doc)
	apply := func(c Change) {
		_, err := c(doc)
		is.NoErr(err)
	}
	apply(declareTeam("choir", 1).Change())
	apply(Declared{Services: map[string]winch.Service{"render": {Name: "render"}}}.Change())
	apply(Approve("render", "choir", true))
	apply(AddKey(winch.Key{ID: "K1", Role: winch.KeyTeam, Holder: "choir"}))
	apply(Declared{Services: map[string]winch.Service{"render": {Name: "render", MaxBody: 5}}}.Change())
	is.Equal(doc.Services["render"].Approved, []string{"choir"}) // a declaration does not change approvals
	apply(Declared{Remove: []Named{{KindTeam, "choir"}}}.Change())
	apply(declareTeam("choir", 1).Change())
	is.Equal(len(doc.Keys), 0)
	is.Equal(len(doc.Services["render"].Approved), 0)
}

// operation is the input of one operation in the history that porcupine checks: an
// edit of the version base, or a read.
type operation struct {
	edit bool
	base uint64
}

// Guards against lost or duplicated changes when operators edit concurrently while
// the store is slow and loses responses: the history of the versions that they
// saw must be linearizable.
func TestEditsLinearizable(t *testing.T) {
	for seed := range 20 {
		synctest.Test(t, func(t *testing.T) {
			ops := raceOperators(seed)
			if !porcupine.CheckOperations(versionModel(), ops) {
				t.Fatalf("seed %d: the history of the operators' edits is not linearizable", seed)
			}
		})
	}
}

func raceOperators(seed int) []porcupine.Operation {
	p := &stand.Platform{}
	p.SetFaults(stand.Faults{LoseReplies: seed % 5, LosePrefix: Key, Latency: time.Millisecond})
	var group conc.WaitGroup
	results := make([][]porcupine.Operation, 4)
	for client := range results {
		group.Go(func() {
			e := Editor{Store: p}
			for i := range 6 {
				time.Sleep(time.Duration((seed*7+client*3+i*5)%11) * time.Millisecond)
				results[client] = append(results[client], editOnce(&e, client, i))
			}
		})
	}
	group.Wait()
	var out []porcupine.Operation
	for _, r := range results {
		out = append(out, r...)
	}
	return out
}

func editOnce(e *Editor, client, i int) porcupine.Operation {
	begin := time.Now()
	in := operation{edit: true}
	doc, err := e.Edit(context.Background(), fmt.Sprint(client), 0, func(doc *winch.Document) ([]winch.Audit, error) {
		in.base = doc.Version
		doc.Teams[fmt.Sprintf("t%d-%d", client, i)] = winch.Team{}
		return []winch.Audit{{Action: "add"}}, nil
	})
	out := doc.Version
	if err != nil {
		out = 0
	}
	return porcupine.Operation{ClientId: client, Input: in, Call: begin.UnixNano(), Output: out, Return: time.Now().UnixNano() + 1}
}

// versionModel is a register that each successful edit increments by one.
func versionModel() porcupine.Model {
	return porcupine.Model{
		Init: func() any { return uint64(0) },
		Step: func(state, _, output any) (bool, any) {
			v, out := state.(uint64), output.(uint64)
			if out == 0 {
				return true, v
			}
			return out == v+1, out
		},
	}
}
