package node

import "strings"

// The tables of the store. Leases are apart from the rest, because they change all the
// time and nobody follows them.
const (
	clusterTable = "cluster"
	leaseTable   = "lease"

	memberPrefix = clusterTable + "/member/"
	keysPrefix   = clusterTable + "/keys/"
	strikePrefix = clusterTable + "/strike/"
	plannerRow   = clusterTable + "/planner"
)

func memberKey(instance string) string { return memberPrefix + instance }
func keysKey(service string) string    { return keysPrefix + service }
func leaseKey(instance string) string  { return leaseTable + "/" + instance }

// tableOf returns the table of a row's key.
func tableOf(key string) string {
	table, _, _ := strings.Cut(key, "/")
	return table
}
