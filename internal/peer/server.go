package peer

import (
	"context"
	"fmt"

	"github.com/basilway/basilway/verdict"
)

// Info describes the other side of a connection, as it describes itself.
type Info struct {
	// Address is where the other daemon accepts connections.
	Address string
	// Identity is its session.
	Identity string
	// Remote is its address on the connection.
	Remote string
}

// Handler answers one request. Its context ends at the caller's deadline, when the caller
// gives up, and when the connection is lost. An error of another type than *Error and
// *verdict.Error reaches the caller as MayHaveRun. The answer to a notification is
// discarded. The handler owns body.
type Handler func(ctx context.Context, remote Info, body []byte) ([]byte, error)

// Server holds the handlers. Register all of them before the first connection.
type Server struct{ handlers [256]Handler }

// NewServer returns a Server without handlers.
func NewServer() *Server { return &Server{} }

// Handle registers the handler of a kind. Kind 0 is reserved.
func (s *Server) Handle(kind uint8, h Handler) {
	if kind == 0 || s.handlers[kind] != nil {
		panic(fmt.Sprintf("peer: kind %d is reserved or registered twice", kind))
	}
	s.handlers[kind] = h
}

// run calls the handler of a kind and turns a panic into an error.
func (s *Server) run(ctx context.Context, kind uint8, remote Info, body []byte) (answer []byte, err error) {
	h := s.handlers[kind]
	if h == nil {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonInvalid, "no handler for kind %d", kind)
	}
	defer func() {
		if p := recover(); p != nil {
			answer, err = nil, verdict.New(verdict.MayHaveRun, verdict.ReasonInternal, "handler of kind %d panicked: %v", kind, p)
		}
	}()
	return h(ctx, remote, body)
}
