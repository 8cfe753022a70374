package node

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/basilway/basilway/internal/httpclient"
)

// maxCall is the size in bytes of the largest message between nodes; a message with all
// rows of a cluster is the largest.
const maxCall = 8 << 20

// post sends a message to another node and returns its answer.
func (n *Node) post(ctx context.Context, address, path string, timeout time.Duration, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	resp, err := n.peers.pool(address).Do(ctx, httpclient.Exchange{
		Method: http.MethodPost, URI: path, Host: address, Header: http.Header{}, Body: body,
	}, nil)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxCall))
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("the node answered %d", resp.StatusCode)
	}
	n.spread.contact()
	return data, nil
}

// readCall decodes the message of another node, or answers that it cannot be read.
func (n *Node) readCall(w http.ResponseWriter, r *http.Request, message any) bool {
	var body bytes.Buffer
	_, err := io.Copy(&body, io.LimitReader(r.Body, maxCall))
	if err == nil {
		err = cbor.Unmarshal(body.Bytes(), message)
	}
	if err != nil {
		n.log.Warn("message of another node rejected", zap.String("remote", r.RemoteAddr), zap.String("path", r.URL.Path), zap.Error(err))
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	n.spread.contact()
	return true
}

// answerCall answers the message of another node.
func (n *Node) answerCall(w http.ResponseWriter, message any) {
	data, err := cbor.Marshal(message)
	if err != nil {
		n.log.Error("answer to another node cannot be encoded", zap.Error(err))
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	if _, err := w.Write(data); err != nil {
		n.log.Debug("answer to another node not sent", zap.Error(err))
	}
}
