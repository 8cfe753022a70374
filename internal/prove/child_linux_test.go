package prove

import "syscall"

// childAttributes lets a child end with the thread that started it, so that an aborted
// test run leaves no daemons.
func childAttributes() *syscall.SysProcAttr {
	return &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
}
