package server

import (
	"runtime/debug"

	"plantainwinch/winch"
)

const (
	// gcPercent lets the heap grow further between collections than the default of 100.
	// An entry's heap is small, and collecting it often costs a tenth of its processor
	// time under load.
	gcPercent = 400
	// regionGCPercent is used by an entry of a region. Nearly all of its live heap are links and jobs, and it
	// uses a few percent of its processor, so that frequent collections cost little and save memory on small
	// VMs.
	regionGCPercent = 40
	// memoryLimit makes the garbage collector run more often before the entry's 256 MB are
	// used up.
	memoryLimit = 200 << 20
)

// TuneMemory tunes the garbage collector of this process for running one entry.
func TuneMemory() {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(memoryLimit)
}

// tuneRegionMemory tunes the garbage collector of this process for running one entry of a region on a VM with the
// given memory.
func tuneRegionMemory(memory winch.Bytes) {
	debug.SetGCPercent(regionGCPercent)
	debug.SetMemoryLimit(int64(memoryShare * float64(memory)))
}
