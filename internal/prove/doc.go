// Package prove checks the invariants of the design with daemons, backend servers and
// the platform stand-in as separate processes. It holds only tests.
package prove
