package fleet

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
)

// The set must agree with a plain list, also at the edges of its words.
func TestTaskSet(t *testing.T) {
	is := is.New(t)
	for _, size := range []int{1, 63, 64, 65, 200} {
		var set taskSet
		set.fill(size)
		is.Equal(set.count, size)
		want := make([]bool, size)
		for i := range want {
			want[i] = true
		}
		random := rand.New(rand.NewPCG(1, uint64(size)))
		for range 500 {
			i, in := random.IntN(size), random.IntN(2) == 0
			set.set(i, in)
			want[i] = in
			var listed []int
			for at := set.next(0); at >= 0; at = set.next(at + 1) {
				listed = append(listed, at)
			}
			is.Equal(len(listed), set.count)
			for _, at := range listed {
				is.True(want[at])
			}
			count := 0
			for _, x := range want {
				if x {
					count++
				}
			}
			is.Equal(count, set.count)
		}
	}
}
