package fleet

import "plantainwinch/winch"

// Load describes how full the region is.
type Load struct {
	Room, Used, Stopping winch.Capacity
	Workers, Usable      int
	// Waiting counts the waiting tasks that are ready, by queue; Capped counts those of them whose
	// team has reached its limit.
	Waiting map[string]int
	Capped  int
	Running int
	Filling int64 // Filling is what filling tasks could use, in thousandths of a processor.
	Shares  ShareLoad
}

// Load returns how full the region is.
func (p *Planner) Load() Load {
	out := Load{Waiting: make(map[string]int), Workers: len(p.workers), Shares: p.shareLoad()}
	for _, w := range p.workers {
		out.Running += len(w.runs)
		out.Used = out.Used.Add(w.used)
		out.Filling += w.fillingMilli
		for _, r := range w.runs {
			if r.stopping {
				out.Stopping = out.Stopping.Add(r.charge)
			}
		}
		if w.usable() {
			out.Usable++
			out.Room = out.Room.Add(w.vm.Room)
		}
	}
	for _, j := range p.active {
		for _, s := range j.phases {
			if !s.ready() {
				continue
			}
			out.Waiting[j.rec.Queue] += s.waiting
			if !j.team.allows(s.spec.Need) {
				out.Capped += s.waiting
			}
		}
	}
	return out
}
