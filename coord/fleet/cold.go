package fleet

// coldShare returns the share of a task's run time, from 0 to 1, during which the worker is still slow
// after its start. Lasting tasks outlast it.
func (w *worker) coldShare(s *phase) float64 {
	if w.warmAt.IsZero() || s.spec.Lasting || !w.planner.Policy.WarmFirst {
		return 0
	}
	left := w.warmAt.Sub(w.planner.now())
	switch {
	case left <= 0:
		return 0
	case s.spec.Estimate <= left:
		return 1
	}
	return left.Seconds() / s.spec.Estimate.Seconds()
}
