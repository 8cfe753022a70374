package httpclient

import (
	"fmt"
	"io"
)

// chunkWriter writes the chunked transfer encoding. Close writes the last chunk.
type chunkWriter struct{ out io.Writer }

func (w *chunkWriter) Write(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	if _, err := fmt.Fprintf(w.out, "%x\r\n", len(p)); err != nil {
		return 0, err
	}
	if _, err := w.out.Write(p); err != nil {
		return 0, err
	}
	_, err := io.WriteString(w.out, "\r\n")
	return len(p), err
}

func (w *chunkWriter) Close() error {
	_, err := io.WriteString(w.out, "0\r\n\r\n")
	return err
}
