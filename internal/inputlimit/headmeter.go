package inputlimit

import "bytes"

const (
	// byteCost is what a byte of a header costs in memory: received, parsed, and written to another server.
	byteCost = 6
	// lineCost is what a line of a header costs: an entry of the parsed header and one of the copy that is
	// sent on.
	lineCost = 200
)

// HeadMeter counts the bytes and lines of a request header while it is received.
type HeadMeter struct {
	// bytes counts the header as sent, with its last empty line; lines its line ends.
	bytes, lines int
	// lineLength is the number of bytes of the current line but for a carriage return.
	lineLength int
	done       bool
}

// Add counts further bytes and returns what they cost. Bytes behind the header cost nothing.
func (m *HeadMeter) Add(p []byte) int64 {
	before, linesBefore := m.bytes, m.lines
	for !m.done && len(p) > 0 {
		end := bytes.IndexByte(p, '\n')
		if end < 0 {
			m.bytes += len(p)
			m.lineLength += len(bytes.TrimRight(p, "\r"))
			break
		}
		m.bytes += end + 1
		m.lines++
		m.lineLength += len(bytes.TrimRight(p[:end], "\r"))
		m.done = m.lineLength == 0
		m.lineLength = 0
		p = p[end+1:]
	}
	return int64(m.bytes-before)*byteCost + int64(m.lines-linesBefore)*lineCost
}

// Done reports whether the header is complete.
func (m *HeadMeter) Done() bool { return m.done }

// Bytes returns the size of the header as sent.
func (m *HeadMeter) Bytes() int { return m.bytes }
