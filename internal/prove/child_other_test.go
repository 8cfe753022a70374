//go:build !linux

package prove

import "syscall"

// childAttributes returns nil: a parent-death signal exists on Linux only.
func childAttributes() *syscall.SysProcAttr { return nil }
