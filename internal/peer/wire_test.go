package peer

import (
	"bytes"
	"context"
	"math/rand/v2"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/coder/websocket"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/basilway/basilway/verdict"
)

func mustEncode(f frame) []byte {
	var buf bytes.Buffer
	if err := f.encode(&buf); err != nil {
		panic(err)
	}
	return buf.Bytes()
}

// fakePeer returns a pool and a raw WebSocket connection to it, whose frames the test reads
// and writes itself.
func fakePeer(t *testing.T) (*Pool, *websocket.Conn) {
	t.Helper()
	g := NewWithT(t)
	s := NewServer()
	s.Handle(1, func(_ context.Context, _ Info, body []byte) ([]byte, error) { return body, nil })
	p := NewPool(Config{Address: "127.0.0.1:1"}, s)
	server := httptest.NewServer(p)
	ws, _, err := websocket.Dial(context.Background(), server.URL, &websocket.DialOptions{
		HTTPHeader: handshakeHeader(Config{Address: "fake:1"}),
	})
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() {
		_ = ws.CloseNow()
		server.Close()
		g.Expect(p.Close(context.Background())).To(Succeed())
	})
	return p, ws
}

// Guards against malformed input that crashes the process or leaves the connection open.
func TestMalformedMessagesCloseTheConnection(t *testing.T) {
	request := mustEncode(frame{Type: frameRequest, ID: 1, Kind: 1, Body: []byte("x")})
	for name, message := range map[string][]byte{
		"not CBOR":          {0xff, 0x00},
		"truncated":         request[:len(request)-1],
		"rest is malformed": append(bytes.Clone(request), 0x1c),
		"not a map":         {0x83, 1, 2, 3},
		"unknown frame":     mustEncode(frame{Type: 99}),
		"huge length":       {0xa1, 0x05, 0x5b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
		"too large":         make([]byte, 4<<20),
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			p, ws := fakePeer(t)
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			_ = ws.Write(ctx, websocket.MessageBinary, message)
			for {
				if _, _, err := ws.Read(ctx); err != nil {
					break
				}
			}
			g.Expect(ctx.Err()).NotTo(HaveOccurred())
			g.Eventually(func() uint64 { return p.Stats().MalformedMessages }, "10s").Should(BeEquivalentTo(1))
		})
	}
}

// Guards against responses without a pending call that reach a caller or close the
// connection.
func TestStrayResponsesAreDroppedAndCounted(t *testing.T) {
	g := NewWithT(t)
	p, ws := fakePeer(t)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	g.Eventually(func() int { return p.Stats().Connections }, "10s").Should(Equal(1))
	send := func(frames ...frame) {
		var message []byte
		for _, f := range frames {
			message = append(message, mustEncode(f)...)
		}
		g.Expect(ws.Write(ctx, websocket.MessageBinary, message)).To(Succeed())
	}
	receive := func() frame {
		_, data, err := ws.Read(ctx)
		g.Expect(err).NotTo(HaveOccurred())
		f, _, err := decodeFrame(data, 1<<20)
		g.Expect(err).NotTo(HaveOccurred())
		return f
	}
	result := make(chan string, 1)
	start := func(ctx context.Context) {
		go func() {
			body, err := p.Call(ctx, "fake:1", 7, nil)
			if err != nil {
				body = []byte(verdict.From(err).Verdict.String())
			}
			result <- string(body)
		}()
	}
	start(ctx)
	f := receive()
	response := frame{Type: frameResponse, ID: f.ID, Kind: 7, Body: []byte("mine")}
	other := frame{Type: frameResponse, ID: f.ID + 1000, Kind: 7, Body: []byte("unknown")}
	send(other, response, response)
	g.Eventually(result, "10s").Should(Receive(Equal("mine")))
	g.Eventually(func() [3]uint64 {
		s := p.Stats()
		return [3]uint64{s.LateResponses, s.DuplicateResponses, s.UnknownResponses}
	}, "10s").Should(Equal([3]uint64{0, 1, 1}))

	short, stop := context.WithCancel(ctx)
	start(short)
	f = receive()
	stop()
	g.Eventually(result, "10s").Should(Receive(Equal("may_have_run")))
	g.Expect(receive().Type).To(Equal(frameCancel))
	start(ctx)
	next := receive()
	send(frame{Type: frameResponse, ID: f.ID, Kind: 7, Body: []byte("late")},
		frame{Type: frameResponse, ID: next.ID, Kind: 7, Body: []byte("next")})
	g.Eventually(result, "10s").Should(Receive(Equal("next")))
	g.Expect(p.Stats().LateResponses).To(BeEquivalentTo(1))
}

// Guards against calls that wait forever because their peer is silent.
func TestSilentPeerIsDetected(t *testing.T) {
	g := NewWithT(t)
	p, _ := fakePeer(t)
	g.Eventually(func() int { return p.Stats().Connections }, "10s").Should(Equal(1))
	_, err := p.Call(context.Background(), "fake:1", 7, nil)
	g.Expect(verdict.From(err).Verdict).To(Equal(verdict.MayHaveRun))
	g.Expect(verdict.From(err).Reason).To(Equal(verdict.ReasonPeerLost))
}

// Guards against sending a frame that was withdrawn: its caller was told NotRun.
func TestWithdrawnFrameIsNotSent(t *testing.T) {
	g := NewWithT(t)
	p := NewPool(Config{}, NewServer())
	defer func() { g.Expect(p.Close(context.Background())).To(Succeed()) }()
	c := newConn(p, nil, Info{}, true)
	o, err := c.newOutFrame(&frame{Type: frameRequest, Kind: 3})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(c.push(o)).To(Succeed())
	g.Expect(o.withdraw()).To(BeTrue())
	var batch bytes.Buffer
	c.appendToBatch(&batch, <-c.out)
	g.Expect(batch.Len()).To(BeZero())
	g.Expect(p.Stats().Kinds).To(BeEmpty())
	o, err = c.newOutFrame(&frame{Type: frameRequest, Kind: 3})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(c.push(o)).To(Succeed())
	c.appendToBatch(&batch, <-c.out)
	g.Expect(batch.Len()).NotTo(BeZero())
	g.Expect(o.withdraw()).To(BeFalse())
}

// Guards against backoff delays outside their bounds.
func TestBackoffBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		least, most := 10*time.Millisecond, time.Second
		pause := backoff(rapid.IntRange(1, 1000).Draw(t, "failures"), least, most, rng)
		if pause < least/2 || pause > most {
			t.Fatalf("pause %v is outside of [%v, %v]", pause, least/2, most)
		}
	})
}

// Guards against a decoder that panics, or that accepts frames that change when they are
// encoded and decoded again.
func FuzzDecodeFrame(f *testing.F) {
	f.Add(mustEncode(frame{Type: frameRequest, ID: 1, Kind: 2, RemainingMS: 3, Body: []byte("body")}))
	f.Add(mustEncode(frame{Type: frameResponse, ID: 1 << 60, Err: toWire(verdict.New(verdict.NotRun, verdict.ReasonInvalid, "x"))}))
	f.Add(append(mustEncode(frame{Type: framePing}), mustEncode(frame{Type: frameGoAway})...))
	f.Add([]byte{0xa1, 0x05, 0x5b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		for len(data) > 0 {
			decoded, rest, err := decodeFrame(data, 1<<10)
			if err != nil {
				return
			}
			if len(rest) >= len(data) {
				t.Fatal("decoder makes no progress")
			}
			again, _, err := decodeFrame(mustEncode(decoded), 1<<20)
			if err != nil {
				t.Fatalf("frame does not decode again: %v", err)
			}
			if again.ID != decoded.ID || again.Type != decoded.Type || !bytes.Equal(again.Body, decoded.Body) {
				t.Fatalf("frame changed: %+v, %+v", decoded, again)
			}
			data = rest
		}
	})
}
