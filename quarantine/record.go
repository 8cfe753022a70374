package quarantine

import (
	"github.com/basilway/basilway/cluster"
	"github.com/cespare/xxhash/v2"
)

// Fingerprint identifies requests that are equal in service, method and payload.
type Fingerprint uint64

var separator = []byte{0}

// NewFingerprint returns the fingerprint of a request: the xxhash64 of service, a zero
// byte, method, a zero byte and payload. The algorithm must not change, because all daemons
// must compute the same value.
func NewFingerprint(service, method string, payload []byte) Fingerprint {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(service)
	_, _ = d.Write(separator)
	_, _ = d.WriteString(method)
	_, _ = d.Write(separator)
	_, _ = d.Write(payload)
	return Fingerprint(d.Sum64())
}

// CrashID identifies one crash of a backend server within the whole cluster.
type CrashID struct {
	// Session is the session of the daemon that detected the crash.
	Session cluster.Session `cbor:"1,keyasint"`
	// Sequence numbers the crashes that the session detected, from 1.
	Sequence uint64 `cbor:"2,keyasint"`
}

// Record is one strike: a request was in flight when a backend server crashed.
type Record struct {
	Fingerprint Fingerprint `cbor:"1,keyasint"`
	Crash       CrashID     `cbor:"2,keyasint"`
	// AtMS is the Unix time of the crash in milliseconds, by the clock of the daemon that
	// detected it.
	AtMS int64 `cbor:"3,keyasint"`
}

// newer reports whether r is newer than o, with ties broken by the crash. The order is total
// over distinct crashes, so daemons that keep the newest two strikes of a fingerprint
// converge regardless of the order in which records arrive.
func (r Record) newer(o Record) bool {
	if r.AtMS != o.AtMS {
		return r.AtMS > o.AtMS
	}
	if r.Crash.Session != o.Crash.Session {
		return o.Crash.Session.Less(r.Crash.Session)
	}
	return r.Crash.Sequence > o.Crash.Sequence
}
