package node

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"net/http"
	"sync"

	"github.com/basilway/basilway/chunks"
	"github.com/basilway/basilway/metastore"
)

const (
	// maxWholeRow is the size in bytes up to which a desired state is sent whole. Larger ones are fetched
	// by those who lack them, a bounded message at a time.
	maxWholeRow = 8 << 10
	// maxChunkBytes bounds the chunks in a message, in bytes before compression.
	maxChunkBytes = 64 << 10
	// maxServedFetches is the number of nodes that are sent chunks at the same time. Others turn to
	// another node, so that each message has a good part of the link.
	maxServedFetches = 4
)

// isLarge reports whether a row is fetched in parts.
func isLarge(row metastore.Row) bool { return len(row.Value) > maxWholeRow }

// chunksRequest asks a node for a newer desired state, or for chunks of it.
type chunksRequest struct {
	// Have is the version in force at the sender.
	Have uint64 `cbor:"1,keyasint"`
	// Expected is the sum of the value that the sender collects; 0 if it has no manifest yet.
	Expected uint64 `cbor:"2,keyasint,omitempty"`
	// Wanted are the sums of the chunks that it asks for.
	Wanted []uint64 `cbor:"3,keyasint,omitempty"`
}

// chunksResponse is the response to a chunksRequest.
type chunksResponse struct {
	// Version is the version in force at the sender, and RowVersion that of its row.
	Version    uint64 `cbor:"1,keyasint"`
	RowVersion uint64 `cbor:"2,keyasint"`
	// Manifest is sent if the version is newer than what the other node has and is not the one that it
	// collects.
	Manifest *chunks.Manifest `cbor:"3,keyasint,omitempty"`
	// Data are the wanted chunks that the sender has, one after the other, compressed with DEFLATE. Sizes
	// are their sizes.
	Data  []byte `cbor:"4,keyasint,omitempty"`
	Sizes []int  `cbor:"5,keyasint,omitempty"`
	// Busy is set if the sender serves too many others at present.
	Busy bool `cbor:"6,keyasint,omitempty"`
}

// desiredStateSource sends the chunks of the desired state in force to other nodes.
type desiredStateSource struct {
	node *Node
	// fetches has an element for each fetch that is served.
	fetches chan struct{}

	mu sync.Mutex
	// index is that of the value of a version.
	index   *chunks.Index
	version uint64
	// deflate is reused because a new one takes more than the compression.
	deflate *flate.Writer
}

func newDesiredStateSource(n *Node) *desiredStateSource {
	return &desiredStateSource{node: n, fetches: make(chan struct{}, maxServedFetches)}
}

// serve handles a chunksRequest.
func (s *desiredStateSource) serve(w http.ResponseWriter, r *http.Request) {
	var request chunksRequest
	if !s.node.readCall(w, r, &request) {
		return
	}
	select {
	case s.fetches <- struct{}{}:
		defer func() { <-s.fetches }()
	default:
		s.node.writeCallResponse(w, chunksResponse{Busy: true})
		return
	}
	response, err := s.respond(request)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	s.node.writeCallResponse(w, response)
}

func (s *desiredStateSource) respond(request chunksRequest) (chunksResponse, error) {
	version, row := s.node.views.desiredState()
	response := chunksResponse{Version: version, RowVersion: row.Version}
	if version <= request.Have {
		return response, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	index := s.indexOf(version, row)
	if m := index.Manifest(); m.Sum != request.Expected {
		response.Manifest = &m
	}
	selected := index.Select(request.Wanted, maxChunkBytes)
	if len(selected) == 0 {
		return response, nil
	}
	var err error
	response.Data, response.Sizes, err = s.compress(selected)
	return response, err
}

// indexOf returns the index of a version. s.mu must be held.
func (s *desiredStateSource) indexOf(version uint64, row metastore.Row) *chunks.Index {
	if s.index == nil || s.version != version {
		s.index, s.version = chunks.NewIndex(row.Value), version
	}
	return s.index
}

// compress returns compressed chunks and their sizes. s.mu must be held.
func (s *desiredStateSource) compress(selected [][]byte) (data []byte, sizes []int, err error) {
	var out bytes.Buffer
	if s.deflate == nil {
		if s.deflate, err = flate.NewWriter(&out, flate.BestSpeed); err != nil {
			return nil, nil, err
		}
	}
	s.deflate.Reset(&out)
	for _, chunk := range selected {
		if _, err := s.deflate.Write(chunk); err != nil {
			return nil, nil, err
		}
		sizes = append(sizes, len(chunk))
	}
	if err := s.deflate.Close(); err != nil {
		return nil, nil, err
	}
	return out.Bytes(), sizes, nil
}

// chunks returns the chunks of a response.
func (r chunksResponse) chunks() ([][]byte, error) {
	total := 0
	for _, size := range r.Sizes {
		if size <= 0 || size > chunks.MaxSize {
			return nil, fmt.Errorf("chunk of %d bytes; 1 to %d are possible", size, chunks.MaxSize)
		}
		if total += size; total > maxChunkBytes+chunks.MaxSize {
			return nil, fmt.Errorf("chunks of more than %d bytes in a message", maxChunkBytes)
		}
	}
	data := make([]byte, total)
	if _, err := io.ReadFull(flate.NewReader(bytes.NewReader(r.Data)), data); err != nil && total > 0 {
		return nil, fmt.Errorf("chunks cannot be decompressed: %w", err)
	}
	var out [][]byte
	for _, size := range r.Sizes {
		out = append(out, data[:size:size])
		data = data[size:]
	}
	return out, nil
}
