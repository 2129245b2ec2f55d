package order

import "slices"

const (
	// recentSizes is the number of recent jobs by which sizes are compared.
	recentSizes = 128
	// sizeMemory is the weight of past jobs of a class against a new one.
	sizeMemory = 64.0
	// minServed is the part of the queue's rate at which each class must be begun. Callers need
	// half of it, on time; more begins than end on time.
	minServed = 0.9
)

// Size is the class of a job's size within its queue.
type Size int

// Sizes: the largest tenth, the fifth below it, and the rest.
const (
	SizeUsual Size = iota
	SizeLarge
	SizeLargest
	sizes
)

// Sizes counts, for one queue, how many jobs of each size were begun in time, so that large jobs are
// served nearly as often as the queue as a whole although they are worth less for their work.
type Sizes struct {
	recent         []float64
	next           int
	sorted         []float64
	arrived, begun [sizes]float64
	mean           float64
}

// Arrived adds a job with the given work and returns its size.
func (s *Sizes) Arrived(work float64) Size {
	if len(s.recent) < recentSizes {
		s.recent = append(s.recent, work)
	} else {
		s.recent[s.next] = work
		s.next = (s.next + 1) % recentSizes
	}
	s.sorted = append(s.sorted[:0], s.recent...)
	slices.Sort(s.sorted)
	s.mean = 0
	for _, x := range s.sorted {
		s.mean += x / float64(len(s.sorted))
	}
	size := s.sizeOf(work)
	s.arrived[size] = s.arrived[size]*(1-1/sizeMemory) + 1
	s.begun[size] *= 1 - 1/sizeMemory
	return size
}

func (s *Sizes) sizeOf(work float64) Size {
	n := len(s.sorted)
	switch {
	case n < 10:
		return SizeUsual
	case work >= s.sorted[n*9/10]:
		return SizeLargest
	case work >= s.sorted[n*7/10]:
		return SizeLarge
	}
	return SizeUsual
}

// Begun adds a job that has begun while it could be on time.
func (s *Sizes) Begun(size Size) { s.begun[size]++ }

// Mean returns the mean work of recent jobs.
func (s *Sizes) Mean() float64 { return s.mean }

// Underserved reports whether jobs of the size are begun much less often than those of the queue.
func (s *Sizes) Underserved(size Size) bool {
	if size == SizeUsual || s.arrived[size] < 1 {
		return false
	}
	arrived, begun := 0.0, 0.0
	for i := range s.arrived {
		arrived += s.arrived[i]
		begun += s.begun[i]
	}
	return s.begun[size]/s.arrived[size] < minServed*begun/arrived
}
