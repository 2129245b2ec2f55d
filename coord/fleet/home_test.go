package fleet

import (
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"plantainwinch/proto"
	"plantainwinch/winch"
)

// domainsOf returns the number of starts of each job in each failure domain.
func (c *simRegion) domainsOf(starts []proto.Order) map[string]map[string]int {
	out := make(map[string]map[string]int)
	for _, o := range starts {
		if out[o.Task.Job] == nil {
			out[o.Task.Job] = make(map[string]int)
		}
		out[o.Task.Job][c.domainOf(o.Worker)]++
	}
	return out
}

// The pattern is a stream of wide urgent jobs, and then a partition of a failure domain: a job with tasks
// there waits for them until the partition is over, so all tasks of a job belong into one domain, and
// the jobs into all of them.
func TestJobsStayInTheirHomeDomain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		c := newDomainRegion(t, 9, urgentQueue())
		c.addJobs("j", 24)
		byJob := c.domainsOf(c.schedule())
		is.Equal(len(byJob), 24)
		used := make(map[string]int)
		for _, domains := range byJob {
			is.Equal(len(domains), 1)
			for d := range domains {
				used[d]++
			}
		}
		is.Equal(len(used), 3)
		for _, jobs := range used {
			is.True(jobs >= 4 && jobs <= 12)
		}
	})
}

// Guards against phases of one job in different domains: each would have its own risk of a partition.
func TestNextPhaseStartsInTheSameDomain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		c := newDomainRegion(t, 9, urgentQueue())
		second := tasks(6, 1000)
		second.After = []int{0}
		c.add("a", "preview", "choir", tasks(3, 1000), second)
		starts := c.schedule()
		for _, o := range starts {
			c.endRun(o, winch.CompletionDone)
		}
		starts = append(starts, c.schedule()...)
		is.Equal(len(starts), 9)
		is.Equal(len(c.domainsOf(starts)["a"]), 1)
	})
}

// Guards against a full home domain that keeps work waiting: what does not fit there starts elsewhere at
// once, and nothing waits for a home that is evacuated.
func TestHomeDomainKeepsNothingWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		c := newDomainRegion(t, 3, urgentQueue())
		c.add("a", "preview", "choir", tasks(40, 1000))
		starts := c.schedule()
		is.Equal(len(starts), 40)
		is.Equal(len(c.domainsOf(starts)["a"]), 3)
		home := c.planner.jobs["a"].home
		c.planner.SetEvacuated([]string{home})
		for _, o := range starts[:8] {
			c.endRun(o, winch.CompletionFailed)
		}
		for _, o := range c.schedule() {
			is.True(c.domainOf(o.Worker) != home)
		}
	})
}
