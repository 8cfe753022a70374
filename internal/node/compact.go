package node

import (
	"bytes"
	"encoding/base64"
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"github.com/basilway/basilway/grant"
	"github.com/basilway/basilway/internal/httpclient"
)

// compactHeader carries the compact form of a ticket, or of the load in the response to one. If
// the client or the backend server sends a header of that name too, its values follow.
const compactHeader = "Bw"

// compactTicket is a ticket without what the receiver can look up. The route, the service and
// the caller's service follow from the desired state, the fingerprint from the request.
type compactTicket struct {
	// Context is the hash of what both nodes must agree on; see agreement.
	Context []byte `cbor:"1,keyasint"`
	// Deadline is the time until the deadline in µs, and Late by how much the deadline is after
	// the target.
	Deadline int64 `cbor:"2,keyasint"`
	Late     int64 `cbor:"3,keyasint,omitempty"`
	// Destination is the index of the service among the destinations of the route.
	Destination int  `cbor:"4,keyasint,omitempty"`
	Retry       bool `cbor:"5,keyasint,omitempty"`
	// Key is the value of the key header, if that is left out.
	Key *uint16 `cbor:"6,keyasint,omitempty"`
	// Caller is the number of the caller's service in the desired state, if its header is left
	// out.
	Caller int `cbor:"7,keyasint,omitempty"`
}

// namedLoad is the encoded form of a peerLoad. A field that is not set takes no bytes, and one
// that a receiver does not know is ignored.
type namedLoad struct {
	Running  int   `cbor:"1,keyasint,omitempty"`
	Waiting  int   `cbor:"2,keyasint,omitempty"`
	Slots    int   `cbor:"3,keyasint,omitempty"`
	WorkUS   int64 `cbor:"4,keyasint,omitempty"`
	QueuedUS int64 `cbor:"5,keyasint,omitempty"`
	// Incarnation is set unless Agreed is: the one of the ticket responded.
	Incarnation string `cbor:"6,keyasint,omitempty"`
	Agreed      bool   `cbor:"7,keyasint,omitempty"`
	// Date, Type and Backend stand for headers of the response that are left out.
	Date    int64 `cbor:"8,keyasint,omitempty"`
	Type    int   `cbor:"9,keyasint,omitempty"`
	Backend bool  `cbor:"10,keyasint,omitempty"`
	// ColdRate is peerLoad.coldRate in tenths of a request per second.
	ColdRate int `cbor:"11,keyasint,omitempty"`
	// Speed is peerLoad.speed in thousandths.
	Speed int `cbor:"12,keyasint,omitempty"`
}

func (l peerLoad) named() namedLoad {
	return namedLoad{
		Running: l.running, Waiting: l.waiting, Slots: l.slots, WorkUS: l.work.Microseconds(), QueuedUS: l.queued.Microseconds(),
		Incarnation: l.incarnation, ColdRate: int(math.Round(10 * min(l.coldRate, maxColdRate/10))), Speed: int(math.Round(1000 * min(l.speed, maxPeerSpeed))),
	}
}

// load returns the load, or one that is not known if a field is outside its range.
func (f namedLoad) load() peerLoad {
	if min(f.Running, f.Waiting, f.Slots, f.ColdRate, f.Speed) < 0 || min(f.WorkUS, f.QueuedUS) < 0 {
		return peerLoad{}
	}
	return peerLoad{
		known: true, running: f.Running, waiting: f.Waiting, slots: f.Slots, work: wireDuration(f.WorkUS),
		queued: wireDuration(f.QueuedUS), incarnation: f.Incarnation, coldRate: float64(min(f.ColdRate, maxColdRate)) / 10,
		speed: float64(min(f.Speed, 1000*maxPeerSpeed)) / 1000,
	}
}

// maxColdRate bounds the rate that another node reports, in tenths of a request per second.
const maxColdRate = 1_000_000

// encodeCompact returns a message as the value of a header.
func encodeCompact(message any) string {
	data, err := cbor.Marshal(message)
	if err != nil {
		panic(err) // only for types that cannot be encoded
	}
	return base64.RawStdEncoding.EncodeToString(data)
}

func decodeCompact(value string, message any) error {
	data, err := base64.RawStdEncoding.DecodeString(value)
	if err != nil {
		return err
	}
	return cbor.Unmarshal(data, message)
}

// agreement returns the hash of what the sender of a compact ticket and its receiver must agree
// on: the desired state, the instance, and the incarnation of its backend server.
func agreement(routes uint64, instance, incarnation string) []byte {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.Write(binary.BigEndian.AppendUint64(nil, routes))
	_, _ = d.WriteString(instance + "\x00" + incarnation)
	return d.Sum(nil)
}

// contentTypes are the types of responses that have a number, from 1. Numbers are never reused.
var contentTypes = []string{
	"application/json", "text/plain; charset=utf-8", "application/octet-stream", "text/plain", "application/json; charset=utf-8",
	"text/html; charset=utf-8", "application/cbor", "application/protobuf",
}

// compactRequest replaces the headers of a request that the receiver restores by a ticket.
func (n *Node) compactRequest(m Member, t ticket, e *httpclient.Exchange, now time.Time) {
	c := compactTicket{
		Context:  agreement(t.routes, m.Owner.Instance, m.Owner.Incarnation),
		Deadline: t.deadline.Sub(now).Microseconds(), Late: t.deadline.Sub(t.target).Microseconds(),
		Destination: t.destination, Retry: t.retry,
	}
	h := e.Header
	// The receiver sets these two in any case.
	h.Del(n.headers.DeadlineMS)
	h.Del(n.headers.ExpectBackend)
	if key, ok := parseKey(h.Get(n.headers.Key)); ok && isOnly(h, n.headers.Key, strconv.Itoa(int(key))) {
		h.Del(n.headers.Key)
		c.Key = &key
	}
	if routes := n.views.current().Routes; routes != nil && routes.Digest == t.routes && isOnly(h, n.headers.Caller, n.config.Service) {
		if c.Caller = routes.ServiceNumber(n.config.Service); c.Caller > 0 {
			h.Del(n.headers.Caller)
		}
	}
	h[compactHeader] = append([]string{encodeCompact(c)}, h[compactHeader]...)
}

// readCompact returns the ticket of a compact request, without its fingerprint, and the
// incarnation that both nodes agree on. It restores the headers that are left out.
func (n *Node) readCompact(r *http.Request, now time.Time) (t ticket, agreed string, err error) {
	var c compactTicket
	if err := decodeCompact(cutCompact(r.Header), &c); err != nil {
		return t, "", fmt.Errorf("ticket cannot be read: %w", err)
	}
	routes, agreed := n.views.current().Routes, n.backend.owner().Incarnation
	if routes == nil || !bytes.Equal(c.Context, agreement(routes.Digest, n.config.Instance, agreed)) {
		return t, "", errors.New("ticket is for another desired state, instance or backend server")
	}
	route, ok := routes.Match(r.Host, r.URL.Path)
	if !ok || c.Destination < 0 || c.Destination >= len(route.Destinations) {
		return t, "", fmt.Errorf("no route for the ticket of %s%s", r.Host, r.URL.Path)
	}
	if c.Caller > 0 {
		caller, ok := routes.ServiceByNumber(c.Caller)
		if !ok {
			return t, "", fmt.Errorf("no service with number %d", c.Caller)
		}
		r.Header.Set(n.headers.Caller, caller)
	}
	if c.Key != nil {
		r.Header.Set(n.headers.Key, strconv.Itoa(int(*c.Key)))
	}
	service := route.Destinations[c.Destination].Service
	info, _ := routes.Service(service)
	key, hasKey := parseKey(r.Header.Get(n.headers.Key))
	deadline := now.Add(wireDuration(c.Deadline))
	return ticket{
		instance: n.config.Instance, service: service, route: route.Name, kind: route.Kind, sharded: info.Sharded, key: key,
		priority: route.Priority, nested: !hasKey, retry: c.Retry, deadline: deadline,
		target: deadline.Add(-wireDuration(c.Late)), version: routes.Version, host: r.Host, path: r.URL.Path, arrived: now,
	}, agreed, nil
}

// isOnly reports whether value is the only value of a header.
func isOnly(h http.Header, name, value string) bool {
	values := h.Values(name)
	return len(values) == 1 && values[0] == value
}

// cutCompact removes this node's value of compactHeader from h and returns it.
func cutCompact(h http.Header) string {
	values := h[compactHeader]
	if len(values) == 0 {
		return ""
	}
	if h[compactHeader] = values[1:]; len(values) == 1 {
		delete(h, compactHeader)
	}
	return values[0]
}

// compactResponse replaces the headers of a response that the receiver restores by the load.
// agreed is the incarnation that both nodes agreed on.
func (n *Node) compactResponse(h http.Header, l peerLoad, agreed string) string {
	f := l.named()
	if f.Incarnation != "" && f.Incarnation == agreed {
		f.Incarnation, f.Agreed = "", true
	}
	if date, err := time.Parse(http.TimeFormat, h.Get("Date")); err == nil && date.Unix() > 0 && isOnly(h, "Date", date.Format(http.TimeFormat)) {
		f.Date = date.Unix()
		h.Del("Date")
	}
	for i, contentType := range contentTypes {
		if isOnly(h, "Content-Type", contentType) {
			f.Type = i + 1
			h.Del("Content-Type")
		}
	}
	if f.Agreed && isOnly(h, n.headers.Backend, grant.IncarnationID(agreed)) {
		f.Backend = true
		h.Del(n.headers.Backend)
	}
	return encodeCompact(f)
}

// restoreResponse restores the headers that compactResponse removed and returns the load.
func (n *Node) restoreResponse(h http.Header, agreed string) (peerLoad, error) {
	var f namedLoad
	if err := decodeCompact(cutCompact(h), &f); err != nil {
		return peerLoad{}, err
	}
	if f.Type < 0 || f.Type > len(contentTypes) {
		return peerLoad{}, fmt.Errorf("content type %d is not known", f.Type)
	}
	if f.Agreed {
		f.Incarnation = agreed
	}
	if f.Date > 0 {
		h.Set("Date", time.Unix(f.Date, 0).UTC().Format(http.TimeFormat))
	}
	if f.Type > 0 {
		h.Set("Content-Type", contentTypes[f.Type-1])
	}
	if f.Backend {
		h.Set(n.headers.Backend, grant.IncarnationID(agreed))
	}
	return f.load(), nil
}
