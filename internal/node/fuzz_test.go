package node

import (
	"bytes"
	"context"
	"math"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/basilway/basilway/keyrange"
	"github.com/basilway/basilway/metastore"
	"github.com/basilway/basilway/metastore/memory"
	"github.com/basilway/basilway/takeover"
)

// peerPaths are the paths of the messages between nodes.
var peerPaths = []string{reportPath, rowsPath, digestPath, storePath, desiredStatePath, desiredChunksPath, completedMovesPath, plannerContactPath, pingPath}

// newIdleNode returns a node without servers and tasks, which is the planner. Messages that it sends are
// answered with response.
func newIdleNode(t testing.TB, response []byte) *Node {
	n := New(Config{
		Instance: "instance-0", Zone: "z", Service: "booking", BackendAddress: "127.0.0.1:1", PeerAddress: "127.0.0.1:2",
		Store: memory.New(memory.Rates{}, 1), Protocol: simProtocol{}, Bounds: Bounds{StopTimeout: time.Second, DrainTimeout: time.Second},
	}, zap.NewNop())
	n.exchange = func(context.Context, string, string, []byte) ([]byte, error) { return response, nil }
	planner, err := cbor.Marshal(PlannerRow{Instance: "instance-0"})
	if err != nil {
		t.Fatal(err)
	}
	member, err := cbor.Marshal(Member{Owner: keyrange.Owner{Instance: "instance-1", Incarnation: "b@1"}, Address: "127.0.0.1:3", Zone: "z", Service: "booking", Slots: 4, State: BackendReady})
	if err != nil {
		t.Fatal(err)
	}
	n.views.replace(clusterTable, metastore.Listing{Version: 2, Rows: []metastore.Row{
		{Key: plannerKey, Value: planner, Version: 1}, {Key: memberKey("instance-1"), Value: member, Version: 2},
	}})
	return n
}

// FuzzMessage gives bytes to the node as each of the messages of other nodes, and as the response to each of
// its own messages. It must not panic, and answers what it can't decode with 400.
func FuzzMessage(f *testing.F) {
	limit := math.NaN()
	for _, message := range []any{
		report{Instance: "instance-1", Demand: map[string][]keyWork{"booking": {{Key: 7, Requests: 3, Micros: 900}}}, Work: map[string]uint32{"book": 900}, Limit: &limit},
		report{Instance: "instance-1", Lease: &renewalRequest{Version: math.MaxUint64, Row: leaseRow{Nonce: 1}}, Vouched: []vouchedRange{{}}, Generation: 1 << 60},
		reportResponse{Renewed: &leaseRenewal{Nonce: 1, Version: math.MaxUint64}, StoreVersion: math.MaxUint64, StoreNow: math.MinInt64},
		rowsMessage{Rows: []metastore.Row{{Key: plannerKey, Value: []byte{0xff}, Version: 9}, {Key: "", Version: 9}, {Key: keysPrefix + "x", Version: 9}}, Want: []string{"", plannerKey}, Relay: []string{"a", "b"}, Source: 200},
		rowsMessage{Rows: []metastore.Row{{Key: bucketKey("booking", 0), Value: []byte{1, 2}, Version: math.MaxUint64}, {Key: memberPrefix, Version: 3, Deleted: true}}},
		digestMessage{Sum: 1, Desired: 9, Versions: map[string]uint64{"": math.MaxUint64}},
		relayCall{Table: leaseTable}, relayCall{Txn: &metastore.Txn{Writes: []metastore.Write{{Key: "", Value: []byte{1}}}}},
		relayResult{Listing: metastore.Listing{Rows: []metastore.Row{{Key: "x", Version: 1}}}}, relayResult{Failure: relayConflict, Rows: []metastore.Row{{Key: "", Version: 1}}},
		desiredStateMessage{Version: 3, Row: &metastore.Row{Key: "desired/state", Value: []byte(`{"Version":3}`), Version: 3}},
		completedMoves{Service: "booking", Owner: keyrange.Owner{Instance: "instance-1"}},
		plannerQuestion{Instance: "instance-1"}, plannerContactMessage{Planner: math.MaxUint64, Known: math.MaxUint32},
	} {
		data, err := cbor.Marshal(message)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add([]byte{})
	f.Add([]byte{0x9b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}) // an array with 2^63 elements
	f.Add([]byte{0xbf})                                                 // a map without an end
	f.Add(bytes.Repeat([]byte{0x81}, 200))                              // nested arrays
	f.Add([]byte{0xa1, 0x01, 0x5b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		n := newIdleNode(t, data)
		calls := n.peerHandler(n.peerCalls())
		for _, path := range peerPaths {
			// The request of a message whose response is awaited ends at once.
			requestCtx, end := context.WithCancel(ctx)
			end()
			method := http.MethodPost
			if path == pingPath {
				method = http.MethodGet
			}
			w := httptest.NewRecorder()
			calls.ServeHTTP(w, httptest.NewRequestWithContext(requestCtx, method, path, bytes.NewReader(data)))
			if w.Code != http.StatusOK && w.Code != http.StatusNoContent && w.Code != http.StatusBadRequest && w.Code != http.StatusConflict {
				t.Fatalf("%s answered %d to %x", path, w.Code, data)
			}
		}
		n.planner.nextChanges("booking", time.Now().Add(time.Hour))
		n.receiveAll(ctx)
	})
}

// receiveAll makes the node send each of its messages. Errors are expected: they say that the response
// can't be used.
func (n *Node) receiveAll(ctx context.Context) {
	const address = "127.0.0.1:3"
	view := *n.views.current()
	view.Planner.Instance = "instance-1"
	_ = n.sendReport(ctx, &view)
	_ = n.gossip.syncWith(ctx, address)
	_ = n.desired.compare(ctx, address)
	inquiry := plannerInquiry{config: takeover.DefaultConfig(minReportInterval), asked: 1, answers: n.planner.askAboutPlanner(ctx, []takeover.Witness{{Address: address}})}
	inquiry.decide(false)
	if result := n.store.relay(ctx, relayCall{Table: leaseTable}).result; result != nil {
		leaseVersions(result.Listing)
		replacedHolders(result.Listing)
		leaseVersions(metastore.Listing{Rows: result.Rows})
		n.views.replace(clusterTable, result.Listing)
		n.views.apply(metastore.ConflictRows(result.err())...)
	}
	if routes := n.views.current().Routes; routes != nil {
		routes.Match("shop.example", "/book/")
	}
}

// FuzzTicket decodes the headers that nodes add to forwarded requests and to their responses. What is
// accepted must be within the ranges that the rest of the node expects, and be the same after it was encoded
// again and passed through net/http.
func FuzzTicket(f *testing.F) {
	now := time.Unix(1_700_000_000, 0)
	f.Add(bookingTicket.encode(now))
	f.Add("0,0,0,0,0,x " + encodeCompact(namedLoad{Running: -1, WorkUS: 9223372036854775807, ColdRate: 9223372036854775807}))
	f.Add(peerLoad{known: true, running: 2, waiting: 1, slots: 4, work: time.Millisecond, queued: time.Millisecond, incarnation: "b@1"}.encode())
	for _, seed := range []string{
		"", ",,,,,,,,,,,", "booking,book,0,true,7,1,false,false,1000,2000,ff,instance-1", "s,r,300,true,7,1,false,false,1,2,0,i", "s,r,-1,true,7,1,false,false,1,2,0,i",
		"s,r,0,true,7,1,false,false,9223372036854775807,-9223372036854775808,0,i", "s,r,0,true,65536,1,false,false,1,2,0,i", "s,r,0,maybe,7,9223372036854775807,false,false,1,2,0,i",
		"-1,-2,-3,-4,-5,x", "1,2,3,9223372036854775807,9223372036854775807,x", "1,2,3,4", "1,2,3", "1,2,3,4,5,x y", "99999999999999999999,0,0,0,0,x",
		"1,overloaded,1000,true,text", "9,x,-5,false,", "0,a,9223372036854775807,true,b,c",
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, s string) {
		if ticket, err := decodeTicket(s, now); err == nil {
			checkTicket(t, ticket, now)
		}
		if load, _ := decodePeerLoad(s); load.known {
			if load.running < 0 || load.waiting < 0 || load.slots < 0 || load.work < 0 || load.queued < 0 {
				t.Fatalf("load %+v from %q", load, s)
			}
			if again, _ := decodePeerLoad(load.encode()); again != load {
				t.Fatalf("%q: %+v, encoded again %+v", s, load, again)
			}
		}
		if out, err := decodeFailure(s); err == nil {
			if out.err.RetryAfter < 0 {
				t.Fatalf("Retry-After %v from %q", out.err.RetryAfter, s)
			}
		}
	})
}

func checkTicket(t *testing.T, decoded ticket, now time.Time) {
	t.Helper()
	if decoded.kind.String() == "non_idempotent" && decoded.kind != 0 {
		t.Fatalf("kind %d", decoded.kind)
	}
	for _, at := range []time.Time{decoded.target, decoded.deadline} {
		if at.Sub(now).Abs() > maxWireTime {
			t.Fatalf("time %v from now", at.Sub(now))
		}
	}
	again, err := decodeTicket(decoded.encode(now), now)
	if err != nil || again != decoded {
		t.Fatalf("%+v, encoded again %+v, %v", decoded, again, err)
	}
}
