package httpclient

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"
)

// responseSeeds are responses at the borders of what a client accepts.
var responseSeeds = []string{
	"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbo", "HTTP/1.1 200 OK\r\n\r\nuntil the end",
	"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbodyHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmore",
	"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nbody!", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 4\r\n\r\nbody",
	"HTTP/1.1 200 OK\r\nContent-Length: +4\r\n\r\nbody", "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\nbody", "HTTP/1.1 200 OK\r\nContent-Length: 99999999999999999999\r\n\r\nbody",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;a=b\r\nbody\r\n0\r\nX: y\r\n\r\n",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nbody\r\n0\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n4\r\nbody\r\n0\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nbody",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\nbody", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\nbody\n0\n\n",
	"HTTP/1.1 204 No Content\r\nContent-Length: 4\r\n\r\nbody", "HTTP/1.1 304 Not Modified\r\nContent-Length: 4\r\n\r\n", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbody",
	"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\n\r\nbody",
	"HTTP/1.1 100 Continue\r\n\r\n", strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", maxInterimResponses+2) + "HTTP/1.1 200 OK\r\n\r\n",
	"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\nrest", "HTTP/1.0 200 OK\r\n\r\nold", "HTTP/2.0 200 OK\r\n\r\n", "HTTP/1.1 200\r\n\r\n", "HTTP/1.1 20 OK\r\n\r\n",
	"HTTP/1.1 000 OK\r\n\r\nbody", "HTTP/1.1 099 OK\r\n\r\n", "HTTP/1.1 2000 OK\r\n\r\n", "HTTP/1.1 abc OK\r\n\r\n", "HTTP/1.1  200 OK\r\n\r\n", "HTTP/1.1 200 OK\nContent-Length: 4\n\nbody", "HTTP/1.1 200 OK\r\nBad Name: x\r\n\r\nbody",
	"HTTP/1.1 200 OK\r\n X: folded\r\n\r\nbody", "HTTP/1.1 200 OK\r\nX: a\r\n b\r\n\r\nbody", "HTTP/1.1 200 OK\r\nX: \x00\r\n\r\nbody", "HTTP/1.1 200 OK\r\nnocolon\r\n\r\nbody",
	"HTTP/1.1 200 OK\r\n: x\r\n\r\nbody", "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 20<<10) + "\r\n\r\nbody", "\r\nHTTP/1.1 200 OK\r\n\r\nbody", "", "\x00", "nonsense\r\n\r\n",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX T: 1\r\n\r\n", "HTTP/1.1 100 Continue\r\nX Y: 1\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
	"HTTP/1.1 200 \nTrAiler:\"\nTrAnsfer-EnCoding:Chunked\n\n0\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\nbodymore", "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	"HTTP/1.1 200 OK\r\nTrailer: X-T\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX-T: 1\r\n\r\n", "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=-1\r\nContent-Length: 0\r\n\r\n",
}

const (
	// maxComparedBytes is the size up to which responses are compared; net/http has other bounds for
	// larger heads.
	maxComparedBytes = 32 << 10
	// responseTimeout bounds one exchange of the comparison.
	responseTimeout = 10 * time.Second
)

// verdict is what a client makes of the bytes of a response.
type verdict struct {
	failed bool // without a response
	status int
	body   string
	broken bool // the body ended early
}

func readVerdict(resp *http.Response, err error) verdict {
	if err != nil {
		return verdict{failed: true}
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusSwitchingProtocols {
		return verdict{status: resp.StatusCode} // what follows is no body
	}
	body, err := io.ReadAll(resp.Body)
	return verdict{status: resp.StatusCode, body: string(body), broken: err != nil}
}

// rawServer answers each request with the same bytes and closes the connection.
type rawServer struct {
	address string
	mu      sync.Mutex
	bytes   []byte
}

func newRawServer(f *testing.F) *rawServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(func() { l.Close() })
	s := &rawServer{address: l.Addr().String()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if readRequest(bufio.NewReader(c)) == nil {
					return
				}
				s.mu.Lock()
				sent := s.bytes
				s.mu.Unlock()
				_, _ = c.Write(sent)
			}()
		}
	}()
	return s
}

// FuzzResponseAsNetHTTP reads the same bytes as a response with a Pool and with net/http's client. Both
// must get the same response, or none. The Pool alone bounds the number of interim responses and refuses
// statuses under 100 and 101, which no server can pass on, and names of fields with blanks.
func FuzzResponseAsNetHTTP(f *testing.F) {
	server := newRawServer(f)
	for _, seed := range responseSeeds {
		f.Add([]byte(seed), true)
		f.Add([]byte(seed), false)
	}
	f.Fuzz(func(t *testing.T, sent []byte, head bool) {
		if len(sent) > maxComparedBytes {
			t.Skip("too large to compare")
		}
		server.mu.Lock()
		server.bytes = sent
		server.mu.Unlock()
		method := http.MethodPost
		if head {
			method = http.MethodHead
		}
		pool := NewPool(server.address, Config{DialTimeout: responseTimeout, IdleTimeout: time.Minute, MaxIdle: 1, ReadBuffer: 1024})
		defer pool.Close()
		got := readVerdict(pool.Do(t.Context(), Exchange{Method: method, URI: "/", Host: "h", Header: http.Header{}}, nil))
		want, err := netHTTPVerdict(server.address, method)
		if err != nil {
			t.Skip(err)
		}
		stricter := strings.Count(string(sent), "HTTP/1.") > maxInterimResponses || want.status < 100 || want.status == http.StatusSwitchingProtocols
		if got == want || got.failed && stricter || (got.failed || got.broken) && nameWithBlank.Match(sent) {
			return
		}
		t.Fatalf("%s answered with %q\nnet/http: %+v\nhere:     %+v", method, sent, want, got)
	})
}

// nameWithBlank matches a field whose name holds a blank.
var nameWithBlank = regexp.MustCompile(`(?m)^[^:\n]* [^:\n]*:`)

// netHTTPVerdict returns what net/http's client makes of the server's response.
func netHTTPVerdict(address, method string) (verdict, error) {
	transport := &http.Transport{
		DisableCompression: true, DisableKeepAlives: true, ReadBufferSize: 1024, MaxResponseHeaderBytes: maxResponseHeadBytes,
	}
	defer transport.CloseIdleConnections()
	request, err := http.NewRequest(method, fmt.Sprintf("http://%s/", address), nil)
	if err != nil {
		return verdict{}, err
	}
	// RoundTrip, because a Client follows redirects.
	return readVerdict(transport.RoundTrip(request)), nil
}
