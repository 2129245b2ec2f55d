// Package config manages the operators' configuration. It is one versioned
// document in the store, which is updated by compare-and-swap together with its
// audit trail. Every entry keeps a copy in memory whose version never decreases.
package config

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	"plantainwinch/state/swap"
	"plantainwinch/winch"
)

// Key is the store key of the document.
const Key = "Config/Document"

// maxTrail is the number of audit records in the document at which the oldest
// archiveBatch of them are moved to a key of their own.
const (
	maxTrail     = 400
	archiveBatch = 200
)

// AuditPrefix is the prefix of the store keys that hold archived audit records.
const AuditPrefix = "Audit/"

// ConflictError is returned when the document is no longer at the version that a
// change was based on. It lists the changes since that version.
type ConflictError struct {
	Base, Current uint64
	Between       []winch.Audit
}

// Error implements the error interface.
func (e *ConflictError) Error() string {
	msg := fmt.Sprintf("configuration is at version %d, not %d", e.Current, e.Base)
	for _, a := range e.Between {
		msg += fmt.Sprintf("; version %d by %s: %s %s", a.Version, a.Actor, a.Action, a.Object)
	}
	return msg
}

// Change modifies a copy of the document and returns the audit records for it.
// Version, time and actor of the records are filled in by Editor.Edit.
type Change func(doc *winch.Document) ([]winch.Audit, error)

// Editor applies changes to the document in the store.
type Editor struct {
	Store winch.Store
}

// Edit writes a change and its audit records in one update. If base is not zero
// and not the current version, the change fails with a *ConflictError.
func (e *Editor) Edit(ctx context.Context, actor string, base uint64, change Change) (winch.Document, error) {
	if err := e.archiveTrail(ctx); err != nil {
		return winch.Document{}, err
	}
	v, err := swap.Update(ctx, e.Store, Key, func(doc *winch.Document) error {
		if base != 0 && doc.Version != base {
			return &ConflictError{Base: base, Current: doc.Version, Between: recordsAfter(doc.Trail, base)}
		}
		return applyChange(doc, actor, change)
	})
	return v.Body, err
}

func applyChange(doc *winch.Document, actor string, change Change) error {
	initMaps(doc)
	records, err := change(doc)
	if err != nil {
		return err
	}
	if len(records) == 0 {
		return swap.ErrUnchanged
	}
	doc.Version++
	for _, record := range records {
		record.Version = doc.Version
		record.Time = time.Now().UTC()
		record.Actor = actor
		doc.Trail = append(doc.Trail, record)
	}
	return nil
}

func initMaps(doc *winch.Document) {
	if doc.Teams == nil {
		doc.Teams = make(map[string]winch.Team)
	}
	if doc.Keys == nil {
		doc.Keys = make(map[string]winch.Key)
	}
	if doc.Classes == nil {
		doc.Classes = make(map[string]winch.Class)
	}
	if doc.Services == nil {
		doc.Services = make(map[string]winch.Service)
	}
}

func recordsAfter(trail []winch.Audit, base uint64) []winch.Audit {
	i := slices.IndexFunc(trail, func(a winch.Audit) bool { return a.Version > base })
	if i < 0 {
		return nil
	}
	return trail[i:]
}

// archiveTrail moves the oldest audit records to a key of their own once the
// document holds maxTrail of them. It copies the records before it removes them
// from the document, so that a crash in between duplicates records instead of
// losing them; Trail drops the duplicates.
func (e *Editor) archiveTrail(ctx context.Context) error {
	cur, err := swap.Read[winch.Document](ctx, e.Store, Key)
	if err != nil || len(cur.Body.Trail) < maxTrail {
		return err
	}
	old := cur.Body.Trail[:archiveBatch]
	key := fmt.Sprintf("%s%012d", AuditPrefix, old[0].Version)
	_, err = swap.Update(ctx, e.Store, key, func(records *[]winch.Audit) error {
		*records = old
		return nil
	})
	if err != nil {
		return err
	}
	_, err = swap.Update(ctx, e.Store, Key, func(doc *winch.Document) error {
		if len(doc.Trail) < maxTrail || doc.Trail[0].Version != old[0].Version {
			return swap.ErrUnchanged
		}
		doc.Trail = slices.Clone(doc.Trail[archiveBatch:])
		return nil
	})
	if errors.Is(err, swap.ErrUnchanged) {
		return nil
	}
	return err
}

// Trail returns all audit records, the archived ones first.
func (e *Editor) Trail(ctx context.Context) ([]winch.Audit, error) {
	archived, err := e.Store.List(ctx, AuditPrefix)
	if err != nil {
		return nil, err
	}
	var out []winch.Audit
	for _, raw := range archived {
		v, err := swap.Decode[[]winch.Audit](raw)
		if err != nil {
			return nil, err
		}
		out = append(out, v.Body...)
	}
	cur, err := swap.Read[winch.Document](ctx, e.Store, Key)
	if err != nil {
		return nil, err
	}
	return append(out, dropDuplicates(out, cur.Body.Trail)...), nil
}

func dropDuplicates(archived, trail []winch.Audit) []winch.Audit {
	if len(archived) == 0 {
		return trail
	}
	return recordsAfter(trail, archived[len(archived)-1].Version)
}

// Clone returns a deep copy of a document.
func Clone(doc *winch.Document) (*winch.Document, error) {
	data, err := json.Marshal(doc)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	out := new(winch.Document)
	if err := json.Unmarshal(data, out); err != nil {
		return nil, merry.Wrap(err)
	}
	initMaps(out)
	return out, nil
}
