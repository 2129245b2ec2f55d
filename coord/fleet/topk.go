package fleet

import "sort"

// topK keeps the best of the values added, sorted, up to a limit.
type topK[T any] struct {
	limit  int
	before func(a, b T) bool
	values []T
}

// add adds a value. Among equal values, the one added first comes first.
func (k *topK[T]) add(x T) {
	n := len(k.values)
	if n == k.limit {
		if n == 0 || !k.before(x, k.values[n-1]) {
			return
		}
		n--
		k.values = k.values[:n]
	}
	i := sort.Search(n, func(i int) bool { return k.before(x, k.values[i]) })
	k.values = append(k.values, x)
	copy(k.values[i+1:], k.values[i:n])
	k.values[i] = x
}
