//go:build !linux

package prove

import "syscall"

// childAttributes returns nil: parent-death signals exist only on Linux.
func childAttributes() *syscall.SysProcAttr { return nil }
