package region

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"slices"

	"plantainwinch/winch"
)

// maxRosterParts bounds the parts that one transaction writes: each takes a condition and a write, the office
// another condition.
const maxRosterParts = (winch.MaxTxnItems - 1) / 2

// rosterStore holds what a planner knows of the stored roster. The roster is stored in parts, one for each
// failure domain: a value of the store has a limited size, a row for each worker of a large region would exceed
// it, and a change should write what has changed. A planner of the build before stores one value, which replaces
// all older parts.
type rosterStore struct {
	// revisions holds the revisions of the stored records by key.
	revisions map[string]uint64
	// unconfirmed holds the keys whose stored record may differ from the roster that the planner takes as recorded:
	// all at the start of a term, and those of a write that failed or whose response was lost.
	unconfirmed map[string]bool
}

func newRosterStore() rosterStore {
	return rosterStore{revisions: make(map[string]uint64), unconfirmed: make(map[string]bool)}
}

// rosterKey returns the key of the part of the roster that holds the workers of a failure domain.
func rosterKey(domain string) string { return keyRoster + "/" + domain }

// note records the stored records at the start of a term, and returns those that are valid, the oldest first.
func (s *rosterStore) note(values []winch.Value) []winch.Value {
	whole := uint64(0)
	for _, v := range values {
		s.revisions[v.Key], s.unconfirmed[v.Key] = v.Version, true
		if v.Key == keyRoster {
			whole = v.Version
		}
	}
	valid := slices.DeleteFunc(slices.Clone(values), func(v winch.Value) bool { return v.Version < whole })
	slices.SortFunc(valid, func(a, b winch.Value) int { return cmp.Compare(a.Version, b.Version) })
	return valid
}

// changes returns the records to write so that the store holds the wanted workers, by key: those that differ from
// the recorded workers, and those that are not confirmed. A record without workers is to be removed.
func (s *rosterStore) changes(wanted, recorded map[string]rosteredWorker) map[string]map[string]rosteredWorker {
	out := make(map[string]map[string]rosteredWorker)
	if s.unconfirmed[keyRoster] {
		recorded = nil // Its workers are in no part yet.
	}
	for key := range s.unconfirmed {
		out[key] = nil
	}
	for id, w := range wanted {
		if old, ok := recorded[id]; !ok || old.VM.Domain != w.VM.Domain || !sameRosterRecord(w, old) {
			out[rosterKey(w.VM.Domain)] = nil
		}
	}
	for id, w := range recorded {
		if next, ok := wanted[id]; !ok || next.VM.Domain != w.VM.Domain {
			out[rosterKey(w.VM.Domain)] = nil
		}
	}
	for id, w := range wanted {
		key := rosterKey(w.VM.Domain)
		part, changed := out[key]
		if !changed {
			continue
		}
		if part == nil {
			part = make(map[string]rosteredWorker)
			out[key] = part
		}
		part[id] = w
	}
	return out
}

// txn returns the transaction that writes the parts with the given keys, under the condition that they are the ones
// last seen.
func (s *rosterStore) txn(parts map[string]map[string]rosteredWorker, keys []string) winch.Txn {
	txn := winch.Txn{Expect: make(map[string]uint64)}
	for _, key := range keys {
		txn.Expect[key] = s.revisions[key]
		if len(parts[key]) > 0 {
			txn.Writes = append(txn.Writes, winch.Write{Key: key, Data: encode(newRoster(parts[key]))})
		} else if s.revisions[key] != 0 {
			txn.Remove = append(txn.Remove, key)
		}
	}
	return txn
}

// written records the result of a transaction. After a failure the records are those that the store has named, if
// it has.
func (s *rosterStore) written(parts map[string]map[string]rosteredWorker, keys []string, revision uint64, err error) {
	var conflict *winch.ConflictError
	known := errors.As(err, &conflict)
	for _, key := range keys {
		switch {
		case err == nil && len(parts[key]) == 0:
			delete(s.revisions, key)
			delete(s.unconfirmed, key)
		case err == nil:
			s.revisions[key] = revision
			delete(s.unconfirmed, key)
		case known:
			s.revisions[key] = conflict.Current[key].Version
		}
	}
}

// writeRoster writes the parts of the roster in which the given workers differ from the recorded ones, on
// condition that this planner still holds the office and that the stored parts are the ones last seen.
func (l *leadership) writeRoster(ctx context.Context, wanted, recorded map[string]rosteredWorker) error {
	select {
	case l.rosterLock <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-l.rosterLock }()
	parts := l.rosterStore.changes(wanted, recorded)
	for key := range parts {
		l.rosterStore.unconfirmed[key] = true
	}
	// The roster of the build before, whose key comes first in order, is removed last: it may hold workers that no
	// part holds yet.
	ordered := slices.Sorted(maps.Keys(parts))
	slices.Reverse(ordered)
	for keys := range slices.Chunk(ordered, maxRosterParts) {
		txn := l.rosterStore.txn(parts, keys)
		txn.Expect[keyOffice] = l.revision
		revision, err := l.node.Table.Commit(ctx, txn)
		l.rosterStore.written(parts, keys, revision, err)
		if err != nil {
			return err
		}
	}
	return nil
}
