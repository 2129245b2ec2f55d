package fleet

import (
	"iter"
	"math/bits"
)

// taskSet is a set of tasks of one phase, by index. Finding the next task costs a fraction of a
// nanosecond for each task that is not in the set.
type taskSet struct {
	words []uint64
	count int
}

const wordBits = 64

// set adds a task or, if in is false, removes it.
func (x *taskSet) set(index int, in bool) {
	word, bit := index/wordBits, uint64(1)<<(index%wordBits)
	if in == x.has(index) {
		return
	}
	if !in {
		x.words[word] &^= bit
		x.count--
		return
	}
	if missing := word + 1 - len(x.words); missing > 0 {
		x.words = append(x.words, make([]uint64, missing)...)
	}
	x.words[word] |= bit
	x.count++
}

func (x *taskSet) has(index int) bool {
	word := index / wordBits
	return word < len(x.words) && x.words[word]&(1<<(index%wordBits)) != 0
}

// next returns the lowest index in the set from the given one on, or -1 if there is none.
func (x *taskSet) next(from int) int {
	word := from / wordBits
	if word >= len(x.words) {
		return -1
	}
	rest := x.words[word] &^ (1<<(from%wordBits) - 1)
	for rest == 0 {
		if word++; word == len(x.words) {
			return -1
		}
		rest = x.words[word]
	}
	return word*wordBits + bits.TrailingZeros64(rest)
}

// fill makes the set hold the tasks 0 to count-1.
func (x *taskSet) fill(count int) {
	x.words = make([]uint64, (count+wordBits-1)/wordBits)
	for i := range x.words {
		x.words[i] = ^uint64(0)
	}
	if rest := count % wordBits; rest > 0 {
		x.words[len(x.words)-1] = 1<<rest - 1
	}
	x.count = count
}

// startOrder returns the tasks of the phase that may be started, those that were stopped for urgent
// work first. The caller may start each in its turn.
func (s *phase) startOrder() iter.Seq[*task] {
	return func(yield func(*task) bool) {
		for i := s.evicted.next(0); i >= 0; i = s.evicted.next(i + 1) {
			if s.startable.has(i) && !yield(s.tasks[i]) {
				return
			}
		}
		for i := s.startable.next(0); i >= 0; i = s.startable.next(i + 1) {
			if !s.evicted.has(i) && !yield(s.tasks[i]) {
				return
			}
		}
	}
}
