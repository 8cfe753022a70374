package httpclient

import (
	"hash/maphash"
	"slices"
)

// maxConnRequests is the number of requests with an id after which a connection is not used again. It bounds
// sentIDs.
const maxConnRequests = 256

// idSeed is the seed of the hashes of request ids.
var idSeed = maphash.MakeSeed()

// sentIDs are the hashes of the ids of the requests that were sent on a connection.
type sentIDs []uint64

// add records that a request is sent.
func (s *sentIDs) add(id string) {
	if id != "" {
		*s = append(*s, maphash.String(idSeed, id))
	}
}

// allows reports whether a request may be sent on the connection. One that was sent on it before may not, because
// a second copy of the earlier response could not be told from the response to this try.
func (s sentIDs) allows(id string) bool {
	return id == "" || len(s) < maxConnRequests && !slices.Contains(s, maphash.String(idSeed, id))
}
