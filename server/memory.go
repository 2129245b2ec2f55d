package server

import "runtime/debug"

const (
	// gcPercent lets the heap grow further between collections than the default of 100.
	// An entry's heap is small, and collecting it often costs a tenth of its processor
	// time under load.
	gcPercent = 400
	// memoryLimit makes the garbage collector run more often before the entry's 256 MB are
	// used up.
	memoryLimit = 200 << 20
)

// TuneMemory tunes the garbage collector of this process for running one entry.
func TuneMemory() {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(memoryLimit)
}
