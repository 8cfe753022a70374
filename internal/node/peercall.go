package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/basilway/basilway/internal/httpclient"
	"github.com/basilway/basilway/internal/inputlimit"
)

// maxMessageSize bounds a message between nodes, in bytes. The largest message has all rows
// of a cluster.
const maxMessageSize = 8 << 20

// messageCost is what a byte of a message costs: received, and decoded.
const messageCost = 4

// loggedMessageSize is the size in bytes from which an undelivered message is logged. Small ones are
// sent all the time, and which peers are lost is logged.
const loggedMessageSize = 4 << 10

// post sends a message to a peer and returns the response body. Any status but 200 is an
// error.
func (n *Node) post(ctx context.Context, address, path string, timeout time.Duration, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	started := time.Now()
	data, err := n.exchange(ctx, address, path, body)
	n.metrics.countMessage(path, len(body), len(data), err)
	if err != nil {
		if len(body) >= loggedMessageSize {
			n.log.Info("message to peer not delivered", zap.String("address", address), zap.String("path", path), zap.Int("bytes", len(body)),
				zap.Duration("took", time.Since(started)), zap.Error(err))
		}
		return nil, err
	}
	n.gossip.recordContact()
	return data, nil
}

func (n *Node) exchangeHTTP(ctx context.Context, address, path string, body []byte) ([]byte, error) {
	pool, started := n.peers.pool(address), time.Now()
	resp, err := pool.Do(ctx, httpclient.Exchange{
		Method: http.MethodPost, URI: path, Host: address, Header: http.Header{}, Body: body, Count: n.peers.count(address, callPurpose(path)),
	}, nil)
	if err != nil {
		pool.CloseIdle(started)
		return nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxMessageSize))
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("peer responded with status %d", resp.StatusCode)
	}
	return data, nil
}

// readCall decodes a message from a peer. If that fails, it responds 400 and returns false.
func (n *Node) readCall(w http.ResponseWriter, r *http.Request, message any) bool {
	body, err := inputlimit.FromContext(r.Context()).ReadAll(r.Body, maxMessageSize, messageCost)
	if errors.Is(err, inputlimit.ErrFull) {
		refuseForMemory(w, r)
		return false
	}
	if err == nil {
		err = cbor.Unmarshal(body, message)
	}
	if err != nil {
		n.log.Warn("message from peer rejected", zap.String("remote", r.RemoteAddr), zap.String("path", r.URL.Path),
			zap.Int("bytes", len(body)), zap.Int64("announced bytes", r.ContentLength), zap.Error(err))
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	n.gossip.recordContact()
	return true
}

// writeCallResponse sends the response to a message from a peer.
func (n *Node) writeCallResponse(w http.ResponseWriter, message any) {
	data, err := cbor.Marshal(message)
	if err != nil {
		n.log.Error("response to peer cannot be encoded", zap.Error(err))
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	if _, err := w.Write(data); err != nil {
		n.log.Debug("response to peer not sent", zap.Error(err))
	}
}
