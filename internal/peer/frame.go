package peer

import (
	"bytes"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/basilway/basilway/verdict"
)

type frameType uint8

const (
	frameRequest frameType = iota + 1
	frameResponse
	frameNotify
	// frameCancel tells the peer that the caller no longer waits for the response.
	frameCancel
	framePing
	framePong
	// frameGoAway says that the sender starts no more calls on the connection.
	frameGoAway
)

// frame is the unit of the protocol. A WebSocket message is a sequence of frames.
type frame struct {
	Type frameType `cbor:"1,keyasint"`
	// ID matches a response or a cancellation to its request.
	ID uint64 `cbor:"2,keyasint,omitempty"`
	// Kind is the kind of the request; its response and its cancellation repeat it.
	Kind uint8 `cbor:"3,keyasint,omitempty"`
	// RemainingMS is the time until the deadline of a request in milliseconds; 0 means no
	// deadline. It is relative, so the clocks of the two sides need not agree.
	RemainingMS uint32     `cbor:"4,keyasint,omitempty"`
	Body        []byte     `cbor:"5,keyasint,omitempty"`
	Err         *wireError `cbor:"6,keyasint,omitempty"`
}

// wireError is the encoded error of a handler.
type wireError struct {
	Verdict      uint8  `cbor:"1,keyasint,omitempty"`
	Reason       string `cbor:"2,keyasint,omitempty"`
	RetryAfterMS uint32 `cbor:"3,keyasint,omitempty"`
	Message      string `cbor:"4,keyasint,omitempty"`
	Detail       []byte `cbor:"5,keyasint,omitempty"`
	ForID        bool   `cbor:"6,keyasint,omitempty"`
}

const (
	// maxFrameOverhead is an upper bound in bytes of an encoded frame without body and error.
	maxFrameOverhead = 64
	// maxErrorMessageBytes bounds the message of an error; longer ones are truncated.
	maxErrorMessageBytes = 512
)

var (
	frameEncoder = must(cbor.EncOptions{}.UserBufferEncMode())
	// frameDecoder rejects what no valid frame contains, so that a malformed one cannot
	// exhaust memory or the stack.
	frameDecoder = must(cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
		MaxNestedLevels:  4,
		MaxArrayElements: 16,
		MaxMapPairs:      16,
	}.DecMode())
)

func must[T any](mode T, err error) T {
	if err != nil {
		panic(err)
	}
	return mode
}

// encode appends f to buf.
func (f *frame) encode(buf *bytes.Buffer) error {
	return frameEncoder.MarshalToBuffer(f, buf)
}

// decodeFrame decodes the first frame of data and returns it and the remaining data.
func decodeFrame(data []byte, maxBytes int) (frame, []byte, error) {
	var f frame
	rest, err := frameDecoder.UnmarshalFirst(data, &f)
	if err != nil {
		return frame{}, nil, err
	}
	if size := len(data) - len(rest); size > maxBytes {
		return frame{}, nil, fmt.Errorf("frame of %d bytes exceeds %d", size, maxBytes)
	}
	if f.Type < frameRequest || f.Type > frameGoAway {
		return frame{}, nil, fmt.Errorf("frame type %d is unknown", f.Type)
	}
	return f, rest, nil
}

// toWire converts the error of a handler for a response.
func toWire(err error) *wireError {
	e := verdict.From(err)
	w := &wireError{
		Verdict:      uint8(e.Verdict),
		Reason:       string(e.Reason),
		RetryAfterMS: toMilliseconds(e.RetryAfter),
		Message:      e.Message[:min(len(e.Message), maxErrorMessageBytes)],
		Detail:       detailOf(err),
		ForID:        e.ForID,
	}
	// The truncation may split a character, and the decoder rejects invalid UTF-8.
	w.Message = string(bytes.ToValidUTF8([]byte(w.Message), nil))
	return w
}

// fromWire converts the error of a response. An unknown verdict becomes MayHaveRun.
func fromWire(w *wireError) *Error {
	v := verdict.Verdict(w.Verdict)
	if v != verdict.NotRun && v != verdict.Ran {
		v = verdict.MayHaveRun
	}
	return &Error{
		Err: &verdict.Error{
			Verdict:    v,
			Reason:     verdict.Reason(w.Reason),
			RetryAfter: time.Duration(w.RetryAfterMS) * time.Millisecond,
			Message:    w.Message,
			ForID:      w.ForID,
		},
		Detail: w.Detail,
		Remote: true,
	}
}

// toMilliseconds returns d in whole milliseconds, at least 1 for a positive duration and 0
// for others.
func toMilliseconds(d time.Duration) uint32 {
	if d <= 0 {
		return 0
	}
	return uint32(min(max(d.Milliseconds(), 1), 1<<31))
}
