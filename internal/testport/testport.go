// Package testport reserves loopback ports for servers that tests start later or restart.
package testport

import "testing"

// Reserve returns a loopback address that a server may listen on until the test ends. No other
// socket gets its port meanwhile, whether or not the server listens.
func Reserve(t testing.TB) (address string) {
	t.Helper()
	address, release, err := reserve()
	if err != nil {
		t.Fatalf("no port reserved: %v", err)
	}
	t.Cleanup(release)
	return address
}
