package keep

import "time"

// deadline is a time by which the keeper has to stop, on two clocks: the monotonic clock stands still while the VM is
// suspended, and the time of day may be set.
type deadline struct {
	monotonic time.Time
	wall      time.Time
}

// after returns the deadline that lies d after a moment.
func after(moment time.Time, d time.Duration) deadline {
	return deadline{monotonic: moment.Add(d), wall: moment.Add(d).Round(0)}
}

// left returns the least time that remains.
func (d deadline) left() time.Duration {
	now := time.Now()
	return min(d.monotonic.Sub(now), d.wall.Sub(now.Round(0)))
}

// extend moves the deadline to a later one.
func (d *deadline) extend(to deadline) {
	d.monotonic, d.wall = later(d.monotonic, to.monotonic), later(d.wall, to.wall)
}
