package prove

import "syscall"

// childAttributes makes the kernel kill a child when the thread that started it ends, so
// that an aborted test run leaves no daemons behind.
func childAttributes() *syscall.SysProcAttr {
	return &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
}
