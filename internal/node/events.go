package node

import (
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// eventsFirst is the number of lines of a kind that are written each second, and
	// eventsThereafter the share, one in so many, of the lines beyond.
	eventsFirst      = 40
	eventsThereafter = 100
)

// events writes one line for each decision about a request, bounded for each kind of line.
type events struct{ log *zap.Logger }

func newEvents(log *zap.Logger, dropped func()) *events {
	sampled := log.WithOptions(zap.WrapCore(func(core zapcore.Core) zapcore.Core {
		return zapcore.NewSamplerWithOptions(core, time.Second, eventsFirst, eventsThereafter,
			zapcore.SamplerHook(func(_ zapcore.Entry, d zapcore.SamplingDecision) {
				if d&zapcore.LogDropped != 0 {
					dropped()
				}
			}))
	}))
	return &events{log: sampled.Named("request")}
}

// request writes a line about the request with an id.
func (e *events) request(message, id string, fields ...zap.Field) {
	if entry := e.log.Check(zapcore.InfoLevel, message); entry != nil {
		entry.Write(append(fields, zap.String("request", id))...)
	}
}
