// Command plantainwinch is a cluster scheduler for services, batch and gang jobs.
package main

import (
	"os"

	"plantainwinch/cmds"
)

func main() {
	os.Exit(cmds.Execute(os.Args[1:]))
}
