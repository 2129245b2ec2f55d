package conf

import (
	"strconv"
	"strings"

	"github.com/ansel1/merry/v2"

	"plantainwinch/winch"
)

// unit is a unit of an amount of memory.
type unit struct {
	name string
	size winch.Bytes
}

var units = []unit{{"GB", 1 << 30}, {"MB", 1 << 20}, {"KB", 1 << 10}, {"B", 1}}

// ParseBytes parses an amount such as 64MB. The units are powers of 1024.
func ParseBytes(text string) (winch.Bytes, error) {
	for _, u := range units {
		number, ok := strings.CutSuffix(text, u.name)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(strings.TrimSpace(number), 10, 64)
		if err != nil || n < 0 || n > (1<<62)/int64(u.size) {
			break
		}
		return winch.Bytes(n) * u.size, nil
	}
	return 0, merry.New("not an amount: write a whole number with its unit, such as 512KB, 64MB or 2GB")
}

// FormatBytes formats an amount in the form that ParseBytes accepts.
func FormatBytes(n winch.Bytes) string {
	for _, u := range units {
		if n >= u.size && n%u.size == 0 {
			return strconv.FormatInt(int64(n/u.size), 10) + u.name
		}
	}
	return strconv.FormatInt(int64(n), 10) + "B"
}

// Nearest returns the known name with the smallest edit distance to the given one,
// ignoring case.
func Nearest(name string, known []string) string {
	best, bestCost := "", 1<<30
	for _, k := range known {
		if cost := editDistance(strings.ToLower(name), strings.ToLower(k)); cost < bestCost {
			best, bestCost = k, cost
		}
	}
	return best
}

// editDistance returns the Levenshtein distance between two names.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := diagonal
			if a[i] != b[j] {
				cost = 1 + min(diagonal, row[j], row[j+1])
			}
			diagonal, row[j+1] = row[j+1], cost
		}
	}
	return row[len(b)]
}
