package peer

import (
	"bytes"
	"context"
	"errors"
	"fmt"

	"github.com/coder/websocket"
	"go.uber.org/zap"
)

// errMalformed is wrapped by errors about messages that violate the protocol.
var errMalformed = errors.New("malformed message")

// readLoop handles messages until the connection is closed. It never waits for the writer,
// so two sides that both send a lot cannot deadlock.
func (c *conn) readLoop() {
	for {
		err := c.readMessage()
		if err == nil {
			continue
		}
		if errors.Is(err, errMalformed) || errors.Is(err, websocket.ErrMessageTooBig) {
			c.pool.counters.malformed.Add(1)
			c.pool.cfg.Logger.Warn("closed the connection of a peer that sent a malformed message", zap.String("peer", c.info.Address), zap.Error(err))
		}
		c.fail(err)
		return
	}
}

// readMessage handles one message. It takes a buffer only when a message arrives, so that
// an idle connection holds none.
func (c *conn) readMessage() error {
	kind, r, err := c.ws.Reader(context.Background())
	if err != nil {
		return err
	}
	if kind != websocket.MessageBinary {
		return fmt.Errorf("%w: not binary", errMalformed)
	}
	buf := batchPool.Get().(*bytes.Buffer)
	defer releaseBatch(buf)
	if _, err := buf.ReadFrom(r); err != nil {
		return err
	}
	return c.handleMessage(buf.Bytes())
}

func (c *conn) handleMessage(data []byte) error {
	c.pool.counters.receivedMessages.Add(1)
	c.lastReceived.Store(c.pool.now())
	for len(data) > 0 {
		f, rest, err := decodeFrame(data, c.pool.cfg.MaxFrameBytes)
		if err != nil {
			return fmt.Errorf("%w: %w", errMalformed, err)
		}
		c.pool.counters.kinds[f.Kind].received(len(data) - len(rest))
		data = rest
		if err := c.handleFrame(&f); err != nil {
			return err
		}
	}
	return nil
}

func (c *conn) handleFrame(f *frame) error {
	switch f.Type {
	case frameRequest, frameNotify:
		c.lastUsed.Store(c.pool.now())
		return c.serve(f)
	case frameResponse:
		c.handleResponse(f)
	case frameCancel:
		c.cancelInbound(f.ID)
	case framePing:
		_ = c.enqueue(&frame{Type: framePong})
	case framePong:
	case frameGoAway:
		c.mu.Lock()
		c.goAwayReceived, c.draining = true, true
		c.mu.Unlock()
		c.goAway()
		c.pool.deselectConn(c)
		c.finishIfDone()
	}
	return nil
}
