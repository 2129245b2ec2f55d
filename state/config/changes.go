package config

import (
	"fmt"
	"maps"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"plantainwinch/winch"
)

// Declared holds the declarations that operators write in files: teams, classes
// and services to add or change, and the names of those to remove. Objects that
// are not named stay as they are.
type Declared struct {
	Teams    map[string]winch.Team    `json:",omitempty"`
	Classes  map[string]winch.Class   `json:",omitempty"`
	Services map[string]winch.Service `json:",omitempty"`
	Remove   []Named                  `json:",omitempty"`
}

// Kind is the kind of a declared object.
type Kind string

// The kinds of declared objects.
const (
	KindTeam    Kind = "Team"
	KindClass   Kind = "Class"
	KindService Kind = "Service"
)

// Named identifies a declared object by kind and name.
type Named struct {
	Kind Kind
	Name string
}

// String returns the name in the form of a section header, such as "Team render".
func (n Named) String() string { return string(n.Kind) + " " + n.Name }

// ErrInvalid is wrapped by errors about a change that is invalid whatever the
// state of the document.
var ErrInvalid = merry.New("bad declaration")

func invalid(format string, args ...any) error {
	return merry.Prependf(ErrInvalid, format, args...)
}

var namePattern = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)

// CheckName returns an error if the name of a team, class or service is malformed.
func CheckName(name string) error {
	if !namePattern.MatchString(name) {
		return invalid("name %q: write a lower-case letter, then letters, digits and hyphens, 63 at most", name)
	}
	return nil
}

// CheckTeam returns an error if a declared team is invalid.
func CheckTeam(t winch.Team) error {
	if t.Share < 1 {
		return invalid("team %s: Share is %d: write 1 or more", t.Name, t.Share)
	}
	if t.Limit < 0 {
		return invalid("team %s: Limit is %d: write 0 or more", t.Name, t.Limit)
	}
	return CheckName(t.Name)
}

// CheckClass returns an error if a declared class is invalid.
func CheckClass(c winch.Class) error {
	if (c.Wait > 0) == (c.By != "") {
		return invalid("class %s: give it one target, either Wait = 4s or By = 06:00", c.Name)
	}
	if _, err := time.Parse("15:04", c.By); c.By != "" && err != nil {
		return invalid("class %s: By = %s is no time of day: write it as 06:00, in UTC", c.Name, c.By)
	}
	if c.MaxRun <= 0 {
		return invalid("class %s: MaxRun is missing: write the longest time that one request or task runs, such as 2m", c.Name)
	}
	return CheckName(c.Name)
}

// Change returns the change that applies the declarations to a document.
func (d Declared) Change() Change {
	return func(doc *winch.Document) ([]winch.Audit, error) {
		var records []winch.Audit
		for _, name := range slices.Sorted(maps.Keys(d.Teams)) {
			if err := CheckTeam(d.Teams[name]); err != nil {
				return nil, err
			}
			records = setObject(records, doc.Teams, KindTeam, name, d.Teams[name])
		}
		for _, name := range slices.Sorted(maps.Keys(d.Classes)) {
			if err := CheckClass(d.Classes[name]); err != nil {
				return nil, err
			}
			records = setObject(records, doc.Classes, KindClass, name, d.Classes[name])
		}
		for _, name := range slices.Sorted(maps.Keys(d.Services)) {
			if err := CheckName(name); err != nil {
				return nil, err
			}
			service := d.Services[name]
			service.Approved = doc.Services[name].Approved // Only the service's owner changes approvals.
			records = setObject(records, doc.Services, KindService, name, service)
		}
		return d.remove(doc, records)
	}
}

// setObject stores an object if it differs from the stored one and adds an audit
// record of the difference.
func setObject[T any](records []winch.Audit, objects map[string]T, kind Kind, name string, value T) []winch.Audit {
	old, exists := objects[name]
	before, after := fmt.Sprintf("%+v", old), fmt.Sprintf("%+v", value)
	if exists && before == after {
		return records
	}
	objects[name] = value
	record := winch.Audit{Action: "add", Object: Named{kind, name}.String(), Detail: after}
	if exists {
		record.Action, record.Detail = "change", changedFields(before, after)
	}
	return append(records, record)
}

// changedFields lists the fields that differ between two structs printed with %+v.
func changedFields(before, after string) string {
	a, b := strings.Fields(strings.Trim(before, "{}")), strings.Fields(strings.Trim(after, "{}"))
	var out []string
	for i := range min(len(a), len(b)) {
		if a[i] != b[i] {
			_, value, _ := strings.Cut(b[i], ":")
			out = append(out, a[i]+" -> "+value)
		}
	}
	return strings.Join(out, ", ")
}

func (d Declared) remove(doc *winch.Document, records []winch.Audit) ([]winch.Audit, error) {
	for _, n := range d.Remove {
		found := false
		switch n.Kind {
		case KindTeam:
			_, found = doc.Teams[n.Name]
			delete(doc.Teams, n.Name)
			withdrawKeys(doc, winch.KeyTeam, n.Name)
			removeApprovals(doc, n.Name)
		case KindClass:
			_, found = doc.Classes[n.Name]
			delete(doc.Classes, n.Name)
		case KindService:
			_, found = doc.Services[n.Name]
			delete(doc.Services, n.Name)
			withdrawKeys(doc, winch.KeyOwner, n.Name)
		default:
			return nil, invalid("kind %q: write Team, Class or Service", n.Kind)
		}
		if found {
			records = append(records, winch.Audit{Action: "remove", Object: n.String()})
		}
	}
	return records, nil
}

// withdrawKeys withdraws the keys of a removed holder. Otherwise a team declared
// later under the same name would inherit them.
func withdrawKeys(doc *winch.Document, role winch.KeyRole, holder string) {
	for id, k := range doc.Keys {
		if k.Role == role && k.Holder == holder {
			delete(doc.Keys, id)
		}
	}
}

func removeApprovals(doc *winch.Document, team string) {
	for name, s := range doc.Services {
		if i, ok := slices.BinarySearch(s.Approved, team); ok {
			s.Approved = slices.Delete(slices.Clone(s.Approved), i, i+1)
			doc.Services[name] = s
		}
	}
}

// Plan returns the audit records of the change that the declarations would make
// to a document, and leaves the document unchanged.
func (d Declared) Plan(doc *winch.Document) ([]winch.Audit, error) {
	copied, err := Clone(doc)
	if err != nil {
		return nil, err
	}
	return d.Change()(copied)
}

// AddKey returns the change that adds a key. The team or service that holds it
// must be declared; the holder of an operator's key only needs a valid name.
func AddKey(key winch.Key) Change {
	return func(doc *winch.Document) ([]winch.Audit, error) {
		switch key.Role {
		case winch.KeyTeam:
			if _, ok := doc.Teams[key.Holder]; !ok {
				return nil, invalid("team %q is not declared", key.Holder)
			}
		case winch.KeyOwner:
			if _, ok := doc.Services[key.Holder]; !ok {
				return nil, invalid("service %q is not declared", key.Holder)
			}
		case winch.KeyOperator:
			if err := CheckName(key.Holder); err != nil {
				return nil, err
			}
		default:
			return nil, invalid("role %q: write Team, Owner or Operator", key.Role)
		}
		doc.Keys[key.ID] = key
		return []winch.Audit{{Action: "issue", Object: "Key " + key.ID, Detail: string(key.Role) + " " + key.Holder}}, nil
	}
}

// WithdrawKey returns the change that withdraws a key.
func WithdrawKey(id string) Change {
	return func(doc *winch.Document) ([]winch.Audit, error) {
		key, ok := doc.Keys[id]
		if !ok {
			return nil, invalid("key %q does not exist: it is named by the part before the dot", id)
		}
		delete(doc.Keys, id)
		return []winch.Audit{{Action: "withdraw", Object: "Key " + id, Detail: string(key.Role) + " " + key.Holder}}, nil
	}
}

// Approve returns the change by which a service's owner allows a team to call the
// service, or withdraws the permission.
func Approve(name, team string, allow bool) Change {
	return func(doc *winch.Document) ([]winch.Audit, error) {
		service, ok := doc.Services[name]
		if !ok {
			return nil, invalid("service %q is not declared", name)
		}
		if _, ok := doc.Teams[team]; !ok {
			return nil, invalid("team %q is not declared", team)
		}
		i, approved := slices.BinarySearch(service.Approved, team)
		action := "approve"
		switch {
		case allow == approved:
			return nil, nil
		case allow:
			service.Approved = slices.Insert(slices.Clone(service.Approved), i, team)
		default:
			action = "revoke"
			service.Approved = slices.Delete(slices.Clone(service.Approved), i, i+1)
		}
		doc.Services[name] = service
		return []winch.Audit{{Action: action, Object: Named{KindService, name}.String(), Detail: "team " + team}}, nil
	}
}
