package main

import (
	"os/exec"

	"golang.org/x/sys/unix"
)

// startOnOneCore starts a process whose processor list has one core, as on the platform. The caller must stay on its
// thread.
func startOnOneCore(cmd *exec.Cmd, which int) error {
	var all, one unix.CPUSet
	if err := unix.SchedGetaffinity(0, &all); err != nil {
		return err
	}
	chosen := -1
	for cpu, seen := 0, 0; seen < all.Count(); cpu++ {
		if all.IsSet(cpu) {
			if seen == which%all.Count() {
				chosen = cpu
			}
			seen++
		}
	}
	one.Set(chosen)
	if err := unix.SchedSetaffinity(0, &one); err != nil {
		return err
	}
	err := cmd.Start()
	if restore := unix.SchedSetaffinity(0, &all); restore != nil {
		return restore
	}
	return err
}
