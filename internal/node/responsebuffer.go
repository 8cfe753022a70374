package node

import (
	"bytes"
	"io"
	"sync"

	"github.com/basilway/basilway/internal/inputlimit"
)

// responseBuffer is the buffered part of a response.
type responseBuffer struct {
	all     *responseBuffers
	request *inputlimit.Request
	data    []byte
	// counted is the part of the buffer that is counted; the smallest buffer is not.
	counted int
	once    sync.Once
}

// read buffers a body up to maxBufferedResponse or as far as there is room. It returns why the body ended;
// nil if it goes on.
func (r *responseBuffer) read(body io.Reader, length int64) error {
	// Room for one more read finds the end of a body whose length is known without another buffer.
	if size := int(min(length, maxBufferedResponse)) + bytes.MinRead; length <= 0 || length > maxBufferedResponse || !r.resize(size) {
		r.data = make([]byte, 0, minBufferedResponse)
	}
	for {
		if len(r.data) >= maxBufferedResponse || len(r.data) == cap(r.data) && !r.resize(min(2*cap(r.data), maxBufferedResponse)) {
			return nil
		}
		n, err := body.Read(r.data[len(r.data):min(cap(r.data), maxBufferedResponse)])
		r.data = r.data[:len(r.data)+n]
		if err != nil {
			return err
		}
	}
}

// resize moves the data into a buffer of another size. It reports false if there is no room for it.
func (r *responseBuffer) resize(size int) bool {
	if r.all.bytes.Add(int64(size)) > maxBufferedBytes || !r.request.TryGrow(int64(size)) {
		r.all.bytes.Add(-int64(size))
		return false
	}
	r.data = append(make([]byte, 0, size), r.data...)
	r.uncount() // the buffer before was in use until now
	r.counted = size
	return true
}

func (r *responseBuffer) uncount() {
	r.all.bytes.Add(-int64(r.counted))
	r.request.Shrink(int64(r.counted))
	r.counted = 0
}

// release ends the use of the buffer.
func (r *responseBuffer) release() { r.once.Do(r.uncount) }
