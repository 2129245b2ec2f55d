package keep

import "time"

// Deadline is a time by which something that an entry was allowed has to end. It is kept on two clocks, since the monotonic
// clock stands still while the VM is suspended, and the time of day may be set.
type Deadline struct {
	Monotonic time.Time
	Wall      time.Time
}

// DeadlineAt returns the deadline at a time of which both clocks are known.
func DeadlineAt(at time.Time) Deadline {
	return Deadline{Monotonic: at, Wall: at.Round(0)}
}

// Left returns how long the deadline is away by the clock that leaves less.
func (d Deadline) Left() time.Duration {
	now := time.Now()
	return min(d.Monotonic.Sub(now), d.Wall.Sub(now.Round(0)))
}

// extend moves the deadline to a later one.
func (d *Deadline) extend(to Deadline) {
	d.Monotonic, d.Wall = later(d.Monotonic, to.Monotonic), later(d.Wall, to.Wall)
}
