package perfbench

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"
)

// clockTick is the unit of CPU times in /proc: 10 ms on all Linux systems.
const clockTick = 10 * time.Millisecond

// Fields of /proc/PID/stat after the name in parentheses, counted from 0.
const (
	statUserTime   = 11
	statSystemTime = 12
)

// cpuTime returns the user and system CPU time that a process has used.
func cpuTime(pid int) (time.Duration, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, trace.ConvertSystemError(err)
	}
	_, after, found := strings.Cut(string(data), ") ")
	fields := strings.Fields(after)
	if !found || len(fields) <= statSystemTime {
		return 0, trace.BadParameter("/proc/%d/stat has an unexpected format", pid)
	}
	user, userErr := strconv.ParseUint(fields[statUserTime], 10, 64)
	system, systemErr := strconv.ParseUint(fields[statSystemTime], 10, 64)
	if userErr != nil || systemErr != nil {
		return 0, trace.BadParameter("/proc/%d/stat has an unexpected format", pid)
	}
	return time.Duration(user+system) * clockTick, nil
}

// residentKB returns the resident memory of a process in KiB.
func residentKB(pid int) (float64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, trace.ConvertSystemError(err)
	}
	for line := range strings.Lines(string(data)) {
		if value, found := strings.CutPrefix(line, "VmRSS:"); found {
			return strconv.ParseFloat(strings.Fields(value)[0], 64)
		}
	}
	return 0, trace.NotFound("/proc/%d/status has no VmRSS", pid)
}
