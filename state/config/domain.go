package config

import (
	"time"

	"plantainwinch/winch"
)

// Actions of audit records about failure domains.
const (
	actionEvacuate = "evacuate"
	actionRestore  = "restore"
)

// Evacuate returns the change that evacuates a failure domain: no new work is given to its executors
// and workers until it is restored.
func Evacuate(domain string) Change {
	return func(doc *winch.Document) ([]winch.Audit, error) {
		if _, evacuated := doc.Evacuated[domain]; evacuated {
			return nil, nil
		}
		if doc.Evacuated == nil {
			doc.Evacuated = make(map[string]time.Time)
		}
		doc.Evacuated[domain] = time.Now().UTC()
		return []winch.Audit{{Action: actionEvacuate, Object: domainObject(domain)}}, nil
	}
}

// Restore returns the change that ends the evacuation of a failure domain.
func Restore(domain string) Change {
	return func(doc *winch.Document) ([]winch.Audit, error) {
		since, evacuated := doc.Evacuated[domain]
		if !evacuated {
			return nil, nil
		}
		delete(doc.Evacuated, domain)
		return []winch.Audit{{Action: actionRestore, Object: domainObject(domain), Detail: "evacuated since " + since.Format(time.RFC3339)}}, nil
	}
}

func domainObject(domain string) string { return "Domain " + domain }
