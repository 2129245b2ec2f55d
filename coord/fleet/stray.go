package fleet

import "plantainwinch/winch"

// Stray is a run that was reported at a worker whose boot has been replaced. No keeper manages that boot, so no report
// ends the run.
type Stray struct {
	Worker string
	Task   winch.RunID
	Run    uint64
	// How says how the run came to be known.
	How string
}

// Strays returns the strays found since the last call.
func (p *Planner) Strays() []Stray {
	out := p.strays
	p.strays = nil
	return out
}

func (p *Planner) noteStray(r *run, how string) {
	if r.worker.replaced {
		p.strays = append(p.strays, Stray{Worker: r.worker.vm.ID, Task: r.key.task, Run: r.key.run, How: how})
	}
}
