package httproute

import (
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
)

// digest returns a hash of everything in the table. Tables with the same digest match the same
// routes and number the services in the same way; the version alone does not tell that, because
// it may be used again after the store went back to an older copy.
func (t *Table) digest() uint64 {
	h := fnv.New64a()
	fmt.Fprintf(h, "%d %+v", t.Version, t.Limits)
	for _, name := range t.names {
		fmt.Fprintf(h, "%+v", t.services[name])
	}
	for _, host := range slices.Sorted(maps.Keys(t.hosts)) {
		fmt.Fprintf(h, "%q %+v", host, t.hosts[host])
	}
	return h.Sum64()
}

// ServiceNumber returns the number of the service with a name, from 1; 0 if there is none.
func (t *Table) ServiceNumber(name string) int {
	at, found := slices.BinarySearch(t.names, name)
	if !found {
		return 0
	}
	return at + 1
}

// ServiceByNumber returns the name of the service with a number.
func (t *Table) ServiceByNumber(number int) (string, bool) {
	if number < 1 || number > len(t.names) {
		return "", false
	}
	return t.names[number-1], true
}
