package daemoncli

import (
	"os"
	"runtime/debug"
)

const (
	// programBytes is the memory of a process that the Go runtime does not manage: its code and the C library.
	programBytes = 16 << 20
	// runtimePercent is the percentage of the rest that the runtime may use before it collects garbage
	// without waiting for the heap to double. What connections received and the process has not read counts
	// on the instance's memory, too.
	runtimePercent = 65
)

// limitMemory makes the garbage collector keep the process within the instance's memory, unless the
// environment sets a limit. 0 means that the memory is not known.
func limitMemory(bytes int64) {
	if bytes > programBytes && os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit((bytes - programBytes) / 100 * runtimePercent)
	}
}
