package node

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/basilway/basilway/keyrange"
)

// Tables of the store. Leases have their own table, because they change all the time and no
// node watches them.
const (
	clusterTable = "cluster"
	leaseTable   = "lease"

	memberPrefix = clusterTable + "/member/"
	keysPrefix   = clusterTable + "/keys/"
	strikePrefix = clusterTable + "/strike/"
	plannerKey   = clusterTable + "/planner"
)

func memberKey(instance string) string { return memberPrefix + instance }
func leaseKey(instance string) string  { return leaseTable + "/" + instance }

// bucketKey returns the key of the row that holds one bucket of a service's key space.
func bucketKey(service string, bucket int) string {
	return fmt.Sprintf("%s%s/%02d", keysPrefix, service, bucket)
}

// parseBucketKey is the inverse of bucketKey.
func parseBucketKey(key string) (service string, bucket int, err error) {
	rest := strings.TrimPrefix(key, keysPrefix)
	at := strings.LastIndexByte(rest, '/')
	if at < 0 {
		return "", 0, fmt.Errorf("row %q does not name a bucket of a key space", key)
	}
	bucket, err = strconv.Atoi(rest[at+1:])
	if err != nil || bucket < 0 || bucket >= keyrange.Buckets {
		return "", 0, fmt.Errorf("row %q does not name a bucket of a key space", key)
	}
	return rest[:at], bucket, nil
}

// tableOf returns the table that a row with the given key belongs to.
func tableOf(key string) string {
	table, _, _ := strings.Cut(key, "/")
	return table
}

// leaseHolder returns the instance whose lease a row is, and false if it is another row: listings may
// come from another node.
func leaseHolder(key string) (instance string, ok bool) {
	return strings.CutPrefix(key, leaseTable+"/")
}
