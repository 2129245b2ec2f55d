package fleet

import (
	"maps"

	"plantainwinch/winch"
)

// Load describes how full the region is.
type Load struct {
	Room, Used, Stopping winch.Capacity
	Workers, Usable      int
	// Waiting counts the waiting tasks that are ready, by queue; Capped counts those of them whose
	// team has reached its limit.
	Waiting map[string]int
	Capped  int
	// Reasons counts the waiting tasks by what kept the last Schedule from starting them.
	Reasons map[string]int
	// Reserved is what is left free for urgent work, in thousandths of a processor, by team; the entry without a name is that
	// of all services.
	Reserved map[string]int64
	Running  int
	Filling  int64 // Filling is what filling tasks could use, in thousandths of a processor.
	Shares   ShareLoad
}

// Load returns how full the region is.
func (p *Planner) Load() Load {
	out := Load{
		Waiting: make(map[string]int), Reasons: make(map[string]int), Reserved: p.reservedMilli(), Workers: len(p.workers),
		Shares: p.shareLoad(),
	}
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
			if s.waitReason != 0 {
				out.Reasons[s.waitReason.String()] += s.waiting
			}
			if !j.team.allows(s.spec.Need) {
				out.Capped += s.waiting
			}
		}
	}
	return out
}

// reservedMilli returns the processors left free for urgent work, in thousandths, see Load.Reserved.
func (p *Planner) reservedMilli() map[string]int64 {
	out := make(map[string]int64)
	for _, x := range p.pools {
		out[""] += x.urgent.reserve(x.capacity, maxPoolReserve).Milli
	}
	for name, t := range p.teams {
		out[name] += t.urgent.reserve(t.Cap, maxTeamReserve).Milli
	}
	maps.DeleteFunc(out, func(_ string, milli int64) bool { return milli == 0 })
	return out
}
