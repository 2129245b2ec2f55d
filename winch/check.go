package winch

import (
	"slices"

	"github.com/ansel1/merry/v2"
)

const (
	// maxTasks bounds the tasks of one job over all its repetitions, so that a single
	// caller can't exhaust an entry's memory.
	maxTasks = 100_000
	// maxPhases bounds the phases of one job.
	maxPhases = 1000
	// maxCommand bounds the size of a command in bytes, because it is stored together with
	// the phases of its job.
	maxCommand = 64 << 10
)

// Check returns an error for the first invalid value of a submitted job.
func (j *PhasedJob) Check() error {
	if len(j.Phases) == 0 || len(j.Phases) > maxPhases {
		return merry.Errorf("give 1 to %d phases", maxPhases)
	}
	if len(j.Command) > maxCommand {
		return merry.Errorf("the command has %d bytes, at most %d are allowed", len(j.Command), maxCommand)
	}
	if j.Times < 0 || j.Times > maxTasks || j.Every < 0 {
		return merry.Errorf("a job is repeated 0 to %d times, with a pause that is not negative", maxTasks)
	}
	total := 0
	for i := range j.Phases {
		if err := j.Phases[i].check(i); err != nil {
			return err
		}
		total += j.Phases[i].Count * max(1, j.Times)
		if total > maxTasks {
			return merry.Errorf("more than %d tasks in all", maxTasks)
		}
	}
	return nil
}

func (p *Phase) check(i int) error {
	if p.Count < 1 || p.Count > maxTasks {
		return merry.Errorf("phase %d: the count must be from 1 to %d", i, maxTasks)
	}
	need := p.Need
	if need.Milli < 0 || need.Memory < 0 || need.Accelerators < 0 || p.Estimate < 0 || p.MostPerVM < 0 || p.MayMiss < 0 || p.Target < 0 {
		return merry.Errorf("phase %d: figures must not be negative", i)
	}
	for _, a := range p.After {
		if a < 0 || a >= i {
			return merry.Errorf("phase %d comes after phase %d, which is no earlier one", i, a)
		}
	}
	return nil
}

// Authorize returns a queue and the team for which a key allows its use, or the reason for refusing that. A public queue
// needs no key.
func (c *RegionConfig) Authorize(name, key string) (queue *Queue, team string, refused Result) {
	queue = c.Queue(name)
	if queue == nil {
		return nil, "", Refuse(UnknownService, "no queue "+name)
	}
	team, known := c.TeamOf(key)
	if !known && !queue.Public {
		return nil, "", Refuse(UnknownKey, "the key is not known")
	}
	return queue, team, Result{}
}

// Queue returns the queue with a name, or nil if there is none.
func (c *RegionConfig) Queue(name string) *Queue {
	i := slices.IndexFunc(c.Queues, func(q Queue) bool { return q.Name == name })
	if i < 0 {
		return nil
	}
	return &c.Queues[i]
}

// TeamOf returns the team that a key belongs to.
func (c *RegionConfig) TeamOf(key string) (string, bool) {
	if key == "" {
		return "", false
	}
	for _, t := range c.Teams {
		for _, k := range t.Keys {
			if k == key {
				return t.Name, true
			}
		}
	}
	return "", false
}
