package readahead

import (
	"context"
	"net/http"
	"time"

	"github.com/basilway/basilway/internal/inputlimit"
	"github.com/basilway/basilway/pipeline"
)

// streamKey is the context key of the stream that a request came on.
type streamKey struct{}

func streamOf(ctx context.Context) *stream {
	st, _ := ctx.Value(streamKey{}).(*stream)
	return st
}

// Arrived returns when the first byte of the request was read; now if the request was not
// read ahead.
func Arrived(ctx context.Context, now time.Time) time.Time {
	if st := streamOf(ctx); st != nil {
		return st.arrived
	}
	return now
}

// OnWritten calls f when the whole response has been written to the client connection. It is
// called at once if the request was not read ahead.
func OnWritten(ctx context.Context, f func(Wait)) {
	st := streamOf(ctx)
	if st == nil {
		f(Wait{})
		return
	}
	st.conn.mu.Lock()
	defer st.conn.mu.Unlock()
	st.onWritten = f
}

// serveStream is the handler of the http.Server: it waits until the request may run.
func (s *Server) serveStream(w http.ResponseWriter, r *http.Request) {
	st := streamOf(r.Context())
	if st == nil {
		s.rest.ServeHTTP(w, r)
		return
	}
	mode := pipeline.Alone
	if r.ContentLength == 0 && !r.Close && s.config.Idempotent(r) {
		mode = pipeline.Concurrent
	}
	if !st.conn.offer(st, mode, r.Close) {
		panic(http.ErrAbortHandler)
	}
	out := &responseWriter{ResponseWriter: w, stream: st, last: r.Close}
	if st.refused {
		out.Header().Set("Connection", "close")
		s.config.Refuse(out, r)
		return
	}
	st.request.SetRunning(true)
	s.config.Handler.ServeHTTP(out, r.WithContext(inputlimit.WithRequest(r.Context(), st.request)))
}

// responseWriter announces the end of the connection in the last response only.
type responseWriter struct {
	http.ResponseWriter
	stream *stream
	// last is set if the client closes after this request, which the http.Server announces.
	last        bool
	wroteHeader bool
}

// WriteHeader implements http.ResponseWriter.
func (w *responseWriter) WriteHeader(status int) {
	if status >= http.StatusOK && !w.wroteHeader {
		w.wroteHeader = true
		h := w.Header()
		closes := w.stream.conn.closesAfter(w.stream, h.Get("Connection") == "close")
		h.Del("Connection")
		if closes && !w.last {
			h.Set("Connection", "close")
		}
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *responseWriter) Write(p []byte) (int, error) {
	if !w.wroteHeader {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(p)
}

// Unwrap is for http.ResponseController.
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
