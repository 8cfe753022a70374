package node

import (
	"bytes"
	"sync"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// maxTestLogBytes limits how much of a test's log is kept.
const maxTestLogBytes = 512 << 10

// testLog keeps the last lines that the nodes of a test log, to show them if the test fails.
type testLog struct {
	mu   sync.Mutex
	data []byte
}

// newTestLogger returns a logger whose last lines are shown if t fails.
func newTestLogger(t *testing.T) *zap.Logger {
	l := &testLog{}
	t.Cleanup(func() {
		if t.Failed() {
			l.mu.Lock()
			defer l.mu.Unlock()
			t.Logf("end of the log of the nodes:\n%s", l.data)
		}
	})
	encoder := zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig())
	return zap.New(zapcore.NewCore(encoder, zapcore.AddSync(l), zapcore.InfoLevel))
}

// Write implements io.Writer.
func (l *testLog) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.data = append(l.data, line...)
	if over := len(l.data) - maxTestLogBytes; over > 0 {
		// Half of the lines go at once, so that not every line moves the others.
		cut := over + maxTestLogBytes/2
		l.data = append([]byte(nil), l.data[cut+bytes.IndexByte(l.data[cut:], '\n')+1:]...)
	}
	return len(line), nil
}
