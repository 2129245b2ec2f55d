package region

import (
	"sync/atomic"

	"plantainwinch/winch"
)

// evacuations holds the failure domains that the platform's operator has evacuated, as far as this
// entry knows.
type evacuations struct {
	current atomic.Pointer[winch.Evacuations]
}

// load returns what is known.
func (e *evacuations) load() winch.Evacuations {
	if known := e.current.Load(); known != nil {
		return *known
	}
	return winch.Evacuations{}
}

// replace stores a newer state, and reports whether it is newer than the present one.
func (e *evacuations) replace(next winch.Evacuations) bool {
	return false
}
