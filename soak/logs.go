package soak

import (
	"bufio"
	"os"
	"path/filepath"
	"strings"
)

// maxLogLine bounds a line of an entry's log.
const maxLogLine = 1 << 20

// checkLogs adds the requests to the report that entries have handled by a configuration that had been replaced, though
// they reached the store or a peer that it answered.
func (s *Soak) checkLogs() {
	for _, p := range s.procs {
		f, err := os.Open(filepath.Join(s.Dir, p.name+".log"))
		if err != nil {
			s.addProblem("the log of %s cannot be read: %v", p.name, err)
			continue
		}
		lines := bufio.NewScanner(f)
		lines.Buffer(nil, maxLogLine)
		for lines.Scan() {
			if line := lines.Text(); strings.Contains(line, "request was handled by a replaced configuration") && strings.Contains(line, `"unreachable":false`) {
				s.addProblem("%s: %s", p.name, line)
			}
		}
		if err := lines.Err(); err != nil {
			s.addProblem("the log of %s cannot be read: %v", p.name, err)
		}
		_ = f.Close()
	}
}
