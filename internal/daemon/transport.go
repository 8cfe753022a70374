package daemon

import (
	"context"

	"github.com/basilway/basilway/internal/wire"
)

// transport sends messages to other daemons.
type transport interface {
	// Call sends a message and waits for the response.
	Call(ctx context.Context, address string, kind uint8, body []byte) ([]byte, error)
	// Notify sends a message that has no response and may be lost.
	Notify(ctx context.Context, address string, kind uint8, body []byte) error
}

// call sends a typed message and decodes the typed response.
func call[Reply any](ctx context.Context, t transport, address string, kind wire.Kind, message any) (Reply, error) {
	var zero Reply
	body, err := wire.Encode(message)
	if err != nil {
		return zero, err
	}
	response, err := t.Call(ctx, address, uint8(kind), body)
	if err != nil {
		return zero, err
	}
	return wire.Decode[Reply](response)
}
