// Package prove tests the invariants of the design under failures, with daemons, backend
// servers and the platform stand-in as separate processes. It contains only tests.
package prove
