package fleet

// coldShare returns the share of a task's run time, from 0 to 1, during which the worker is still slow
// after its start. Lasting tasks outlast it.
func (w *worker) coldShare(s *phase) float64 {
	left := w.warmAt.Sub(w.planner.now())
	switch {
	case !w.planner.Policy.WarmFirst || w.warmAt.IsZero() || left <= 0 || s.spec.Lasting:
		return 0
	case s.spec.Estimate <= left:
		return 1
	}
	return left.Seconds() / s.spec.Estimate.Seconds()
}
