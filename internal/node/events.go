package node

import (
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// eventSampleFirst is the number of lines with the same message that are written each
	// second. Beyond that, one in eventSampleThereafter is written.
	eventSampleFirst      = 40
	eventSampleThereafter = 100
)

// events logs decisions about requests, one line each, sampled by message.
type events struct{ log *zap.Logger }

func newEvents(log *zap.Logger, dropped func()) *events {
	sampled := log.WithOptions(zap.WrapCore(func(core zapcore.Core) zapcore.Core {
		return zapcore.NewSamplerWithOptions(core, time.Second, eventSampleFirst, eventSampleThereafter,
			zapcore.SamplerHook(func(_ zapcore.Entry, d zapcore.SamplingDecision) {
				if d&zapcore.LogDropped != 0 {
					dropped()
				}
			}))
	}))
	return &events{log: sampled.Named("request")}
}

// request logs a line about the request with the given id.
func (e *events) request(message, id string, fields ...zap.Field) {
	if entry := e.log.Check(zapcore.InfoLevel, message); entry != nil {
		entry.Write(append(fields, zap.String("request", id))...)
	}
}
