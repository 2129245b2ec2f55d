// Package quota keeps every team within its upper limit over the whole fleet without a store
// call per start. The limit is split into units, one for each task or call that may run. A
// unit is either in the pool or in the row of one holder, which is an entry or an office.
// Only its holder may start work against a unit, and it keeps the unit until that work is
// guaranteed to have ended. All rows are in one value of the store, so their sum never
// exceeds the limit.
package quota

import (
	"fmt"
	"time"

	"plantainwinch/winch"
)

// Key is the store key of the units.
const Key = "Quota/Units"

// Row holds one holder's part of a team's units.
type Row struct {
	Units int
	// Epoch is the office's epoch at the last change of the row, for the row of an office.
	Epoch uint64 `json:",omitempty"`
}

// TeamUnits holds the split of one team's limit. After the limit was lowered, Pool may be
// negative: the holders then owe that many units.
type TeamUnits struct {
	Limit int
	Pool  int
	Rows  map[string]Row
}

// Units is the value in the store, with the units of all teams.
type Units struct {
	// Config is the version of the configuration that the limits are taken from.
	Config uint64
	Teams  map[string]*TeamUnits
	// Longest holds the longest run time of the work that each holder started. After the
	// holder's process has ended, its units are in use for at most that long.
	Longest map[string]time.Duration
	// Offices holds the newest epoch of each office that has rows, so that an earlier holder
	// of the office that resumes after a process pause cannot change them.
	Offices map[string]uint64
}

// applyConfig applies the limits of a newer configuration and reports whether it was newer.
// A raised limit adds units to the pool. A lowered limit removes units from the pool, which
// may become negative; the holders then return units as their work ends.
func (u *Units) applyConfig(doc *winch.Document) bool {
	if u.Teams == nil {
		u.Teams = make(map[string]*TeamUnits)
	}
	if u.Longest == nil {
		u.Longest = make(map[string]time.Duration)
	}
	if u.Offices == nil {
		u.Offices = make(map[string]uint64)
	}
	if doc == nil || doc.Version <= u.Config {
		return false
	}
	u.Config = doc.Version
	for name, team := range doc.Teams {
		u.resize(name, team.Limit)
	}
	for name := range u.Teams {
		if _, ok := doc.Teams[name]; !ok {
			u.resize(name, 0)
		}
	}
	return true
}

// resize changes the limit of a team and adjusts its pool.
func (u *Units) resize(name string, limit int) {
	t := u.Teams[name]
	if t == nil {
		t = &TeamUnits{Rows: make(map[string]Row)}
		u.Teams[name] = t
	}
	t.Pool += limit - t.Limit
	t.Limit = limit
}

// Holders returns the set of the holders that have rows.
func (u *Units) Holders() map[string]bool {
	out := make(map[string]bool)
	for _, t := range u.Teams {
		for holder := range t.Rows {
			out[holder] = true
		}
	}
	return out
}

// check panics if units were created or lost. A wrong sum would let a team exceed its limit,
// so the process must not continue with it.
func (u *Units) check() {
	for name, t := range u.Teams {
		sum := t.Pool
		for holder, row := range t.Rows {
			if row.Units < 0 {
				panic(fmt.Sprintf("quota: holder %s has %d units of team %s", holder, row.Units, name))
			}
			sum += row.Units
		}
		if sum != t.Limit {
			panic(fmt.Sprintf("quota: units of team %s add up to %d, limit is %d", name, sum, t.Limit))
		}
	}
}

// move moves up to n units from the pool to a row, or back to the pool if n is negative, and
// returns how many it moved.
func (t *TeamUnits) move(holder string, epoch uint64, n int) int {
	row := t.Rows[holder]
	if n > 0 {
		n = min(n, max(0, t.Pool))
	} else {
		n = max(n, -row.Units)
	}
	if n == 0 {
		return 0
	}
	t.Pool -= n
	row.Units += n
	row.Epoch = epoch
	t.Rows[holder] = row
	if row.Units == 0 {
		delete(t.Rows, holder)
	}
	return n
}

// reclaim returns the rows of a holder to the pool and reports whether there was anything to
// remove. The holder and its work must be guaranteed to have ended.
func (u *Units) reclaim(holder string) bool {
	_, found := u.Longest[holder]
	delete(u.Longest, holder)
	for _, t := range u.Teams {
		if row, ok := t.Rows[holder]; ok {
			t.Pool += row.Units
			delete(t.Rows, holder)
			found = true
		}
	}
	return found
}
