package node

import (
	"syscall"
	"time"
	"unsafe"
)

// clockBoottime is Linux's CLOCK_BOOTTIME, which also counts time while the instance is suspended.
const clockBoottime = 7

// boottimeNow reads the clock that leases and holds are measured with. Go's monotonic
// clock stops while the instance is suspended, but leases must still expire.
func boottimeNow() time.Time {
	var ts syscall.Timespec
	if _, _, errno := syscall.Syscall(syscall.SYS_CLOCK_GETTIME, clockBoottime, uintptr(unsafe.Pointer(&ts)), 0); errno != 0 {
		panic("clock_gettime(CLOCK_BOOTTIME): " + errno.Error())
	}
	return time.Unix(ts.Unix())
}
