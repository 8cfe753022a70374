package daemoncli

import (
	"time"

	"go.uber.org/zap/zapcore"
)

// encodeLogTime encodes log times as RFC 3339 with milliseconds, in UTC.
func encodeLogTime(t time.Time, encoder zapcore.PrimitiveArrayEncoder) {
	encoder.AppendString(t.UTC().Format("2006-01-02T15:04:05.000Z07:00"))
}
