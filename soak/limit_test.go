package soak

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a limit that stays when the region grows, so that the jobs of one team wait for each other until the deadline.
func TestLimitGrowsWithTheRegion(t *testing.T) {
	for _, x := range []struct {
		domains, workers int
		milli            int64
	}{{3, 4, limitMilli}, {1, 1, limitMilli}, {5, 16, limitMilli * 80 / 12}, {5, 220, limitMilli * 1100 / 12}} {
		is := is.New(t)
		s := Soak{Options: Options{Domains: x.domains, Workers: x.workers}}
		limited := 0
		for _, team := range s.teams() {
			if team.Milli > 0 {
				is.Equal(team.Milli, x.milli)
				limited++
			}
		}
		is.Equal(limited, 1)
	}
}
