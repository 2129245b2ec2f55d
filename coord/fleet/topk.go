package fleet

import "sort"

// topK keeps the best of the values added, sorted, up to a limit.
type topK[T any] struct {
	most   int
	before func(a, b T) bool
	list   []T
}

// add adds a value. Among equal values, the one added first comes first.
func (k *topK[T]) add(x T) {
	n := len(k.list)
	if n == k.most {
		if n == 0 || !k.before(x, k.list[n-1]) {
			return
		}
		n--
		k.list = k.list[:n]
	}
	i := sort.Search(n, func(i int) bool { return k.before(x, k.list[i]) })
	k.list = append(k.list, x)
	copy(k.list[i+1:], k.list[i:n])
	k.list[i] = x
}
