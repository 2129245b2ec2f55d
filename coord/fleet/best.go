package fleet

import "sort"

// best keeps the best of what is added, in order, at most so many.
type best[T any] struct {
	most   int
	before func(a, b T) bool
	list   []T
}

// add takes a value. Of equals the one added first comes first.
func (b *best[T]) add(x T) {
	n := len(b.list)
	if n == b.most {
		if n == 0 || !b.before(x, b.list[n-1]) {
			return
		}
		n--
		b.list = b.list[:n]
	}
	i := sort.Search(n, func(i int) bool { return b.before(x, b.list[i]) })
	b.list = append(b.list, x)
	copy(b.list[i+1:], b.list[i:n])
	b.list[i] = x
}
