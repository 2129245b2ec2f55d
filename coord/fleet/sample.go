package fleet

import "iter"

// maxCompared bounds the tasks of a phase that are compared with each other: each report of progress and
// each end may lead to a comparison, which must not take longer the wider the phase is.
const maxCompared = 256

// tasksAround returns all tasks of the phase or, if it is wide, those around the given one: tasks with
// similar indices are started at about the same time.
func (s *phase) tasksAround(index int) []*task {
	first := max(0, min(index-maxCompared/2, len(s.tasks)-maxCompared))
	return s.tasks[first:min(len(s.tasks), first+maxCompared)]
}

// keepCompleted keeps a run that completed a task. Of the runs of a wide phase it keeps a part,
// and the longest.
func (s *phase) keepCompleted(x completedRun) {
	stride := (len(s.tasks) + maxCompared - 1) / maxCompared
	if s.samples%stride == 0 {
		s.completed = append(s.completed, x)
	}
	if x.took > s.longest.took {
		s.longest = x
	}
}

// longestRuns returns runs among which those are that took longest, as far as they are kept.
func (s *phase) longestRuns() iter.Seq[completedRun] {
	return func(yield func(completedRun) bool) {
		for _, x := range s.completed {
			if !yield(x) {
				return
			}
		}
		if s.longest.worker != nil {
			yield(s.longest)
		}
	}
}

// sampledRuns returns the worker's runs, each with how many it stands for: of very many runs it returns a part, as what
// is computed of them all would take long.
func (w *worker) sampledRuns() iter.Seq2[*run, int] {
	return func(yield func(*run, int) bool) {
		times := (len(w.runs) + maxCompared - 1) / maxCompared
		skip := 0
		for _, r := range w.runs {
			if skip--; skip >= 0 {
				continue
			}
			skip = times - 1
			if !yield(r, times) {
				return
			}
		}
	}
}
