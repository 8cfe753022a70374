package peer

import (
	"context"
	"fmt"

	"github.com/basilway/basilway/verdict"
)

// Info describes the peer of a connection. Address and Identity are as the peer sent them.
type Info struct {
	// Address is where the peer accepts connections.
	Address string
	// Identity is its session.
	Identity string
	// Remote is the remote address of the connection.
	Remote string
}

// Handler handles one request. Its context ends at the caller's deadline, when the caller
// cancels, and when the connection is lost. An error that is neither an *Error nor a
// *verdict.Error reaches the caller as MayHaveRun. The response to a notification is
// discarded. The handler owns body.
type Handler func(ctx context.Context, remote Info, body []byte) ([]byte, error)

// Server holds the handlers by kind. Register all of them before the first connection.
type Server struct{ handlers [256]Handler }

// NewServer returns a Server without handlers.
func NewServer() *Server { return &Server{} }

// Handle registers the handler of a kind. It panics if the kind is 0, which is reserved, or
// already registered.
func (s *Server) Handle(kind uint8, h Handler) {
	if kind == 0 || s.handlers[kind] != nil {
		panic(fmt.Sprintf("peer: kind %d is reserved or registered twice", kind))
	}
	s.handlers[kind] = h
}

// run calls the handler of a kind and turns a panic into an error.
func (s *Server) run(ctx context.Context, kind uint8, remote Info, body []byte) (response []byte, err error) {
	h := s.handlers[kind]
	if h == nil {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonInvalid, "no handler for kind %d", kind)
	}
	defer func() {
		if p := recover(); p != nil {
			response, err = nil, verdict.New(verdict.MayHaveRun, verdict.ReasonInternal, "handler of kind %d panicked: %v", kind, p)
		}
	}()
	return h(ctx, remote, body)
}
