package hostproto

import (
	"encoding/binary"
	"fmt"
	"math"
	"time"
)

// Decode decodes one frame. body is the frame without its length: a code and the fields of that code. The error of a
// malformed frame is a *FrameError. The memory that Decode allocates is bounded by the length of body.
func Decode(body []byte) (Frame, error) {
	if len(body) == 0 {
		return nil, &FrameError{Reason: ErrTruncated, Offset: lengthSize}
	}
	code := body[0]
	fields := fieldReader{unread: body[codeSize:], offset: lengthSize + codeSize}
	frame := decodePlacerFrame(code, &fields)
	if frame == nil {
		frame = decodeHostFrame(code, &fields)
	}
	if frame == nil {
		return nil, &FrameError{Reason: ErrUnknownCode, Offset: lengthSize, Detail: fmt.Sprintf(": %d", code)}
	}
	if len(fields.unread) > 0 {
		fields.fail(ErrTrailingBytes, "")
	}
	if err := fields.err; err != nil {
		if err.Detail == "" {
			err.Detail = fmt.Sprintf(" (code %d)", code)
		}
		return nil, err
	}
	return frame, nil
}

// decodePlacerFrame decodes the fields of a frame that placers send. It returns nil for any other code. Here and below,
// the calls in a composite literal read the fields in the order in which they are written.
func decodePlacerFrame(code uint8, r *fieldReader) Frame {
	switch code {
	case codeHello:
		return Hello{Version: r.uint8(), Placer: r.uint16(), Epoch: r.uint64(), Conn: r.uint32()}
	case codeOffer:
		return Offer{Ref: r.ref(), Wait: r.milliseconds(), Spec: r.spec(), Payload: r.payload()}
	case codeWithdraw:
		return Withdraw{Ref: r.ref()}
	case codeStop:
		return Stop{Ref: r.ref(), Grace: r.milliseconds()}
	case codeProbe:
		return Probe{ID: r.uint32()}
	case codeQuery:
		return Query{Refs: r.queryRefs()}
	}
	return nil
}

// decodeHostFrame decodes the fields of a frame that hosts send, including Bye, which placers send too. It returns nil
// for any other code.
func decodeHostFrame(code uint8, r *fieldReader) Frame {
	switch code {
	case codeWelcome:
		return Welcome{
			Version: r.uint8(), Host: r.text(), Epoch: r.uint64(), Started: time.Duration(r.uint64()), Draining: r.bool(), Count: r.uint32(),
		}
	case codeHolds:
		return Holds{Held: r.heldList()}
	case codeRefused:
		return Refused{Ref: r.ref(), Reason: Reason(r.uint8UpTo(uint8(Unsuitable))), Report: r.report()}
	case codeAccepted:
		return Accepted{Ref: r.ref()}
	case codeRunning:
		return Running{Ref: r.ref()}
	case codeNote:
		return Note{Ref: r.ref(), Kind: r.uint8(), Amount: r.float32()}
	case codeEnded:
		return Ended{Ref: r.ref(), Result: Result(r.uint8UpTo(uint8(Forgotten))), Report: r.report()}
	case codeProbed:
		return Probed{ID: r.uint32(), Report: r.report()}
	case codeDrain:
		return Drain{On: r.bool()}
	case codeBye:
		return Bye{Text: r.text()}
	}
	return nil
}

// fieldReader reads the fields of a frame one after another. After the first error, every field it returns is zero.
type fieldReader struct {
	unread []byte
	offset int // offset of unread from the start of the frame's length
	err    *FrameError
}

// fail records the error, unless there is an earlier one, and discards the remaining bytes.
func (r *fieldReader) fail(reason error, detail string) {
	r.failAt(r.offset, reason, detail)
}

func (r *fieldReader) failAt(offset int, reason error, detail string) {
	if r.err == nil {
		r.err = &FrameError{Reason: reason, Offset: offset, Detail: detail}
	}
	r.unread = nil
}

// take returns the next n bytes, or nil if there are fewer.
func (r *fieldReader) take(n int) []byte {
	if len(r.unread) < n {
		r.fail(ErrTruncated, "")
		return nil
	}
	field := r.unread[:n]
	r.unread = r.unread[n:]
	r.offset += n
	return field
}

func (r *fieldReader) uint8() uint8 {
	if field := r.take(1); field != nil {
		return field[0]
	}
	return 0
}

func (r *fieldReader) uint16() uint16 {
	if field := r.take(2); field != nil {
		return binary.LittleEndian.Uint16(field)
	}
	return 0
}

func (r *fieldReader) uint32() uint32 {
	if field := r.take(4); field != nil {
		return binary.LittleEndian.Uint32(field)
	}
	return 0
}

func (r *fieldReader) uint64() uint64 {
	if field := r.take(8); field != nil {
		return binary.LittleEndian.Uint64(field)
	}
	return 0
}

func (r *fieldReader) float32() float32 { return math.Float32frombits(r.uint32()) }

func (r *fieldReader) milliseconds() time.Duration {
	return time.Duration(r.uint32()) * time.Millisecond
}

// uint8UpTo reads a number that must be at most maxValue.
func (r *fieldReader) uint8UpTo(maxValue uint8) uint8 {
	start := r.offset
	v := r.uint8()
	if v > maxValue {
		r.failAt(start, ErrInvalidValue, "")
		return 0
	}
	return v
}

func (r *fieldReader) bool() bool { return r.uint8UpTo(1) == 1 }

// lengthPrefixed reads a field that is preceded by its length, which must be at most maxSize.
func (r *fieldReader) lengthPrefixed(maxSize int) []byte {
	start := r.offset
	size := int(r.uint16())
	if size > maxSize {
		r.failAt(start, ErrInvalidValue, "")
		return nil
	}
	return r.take(size)
}

func (r *fieldReader) text() string { return string(r.lengthPrefixed(MaxTextSize)) }

// payload returns a copy of the payload, or nil for an empty one.
func (r *fieldReader) payload() []byte {
	return append([]byte(nil), r.lengthPrefixed(MaxPayloadSize)...)
}

func (r *fieldReader) ref() Ref {
	return Ref{Epoch: r.uint64(), Task: r.uint32(), Attempt: r.uint8()}
}

func (r *fieldReader) spec() Spec {
	return Spec{
		Key: r.uint64(), Service: r.uint64(), Fingerprint: r.uint64(), Name: r.text(), Class: r.text(), Tenant: r.text(),
		Effect: r.uint8UpTo(maxEffect), Priority: r.uint8(), Cores: r.uint32(), Memory: r.uint32(), Life: r.milliseconds(),
	}
}

// report reads a report, or returns nil if the frame has none.
func (r *fieldReader) report() *Report {
	if !r.bool() {
		return nil
	}
	return &Report{Cores: r.float32(), Memory: r.float32(), Queue: r.float32(), Util: r.float32()}
}

func (r *fieldReader) queryRefs() []Ref {
	start := r.offset
	count := int(r.uint16())
	if count > MaxQueryRefs || count*refSize > len(r.unread) {
		r.failAt(start, ErrInvalidValue, fmt.Sprintf(": a query of %d", count))
		return nil
	}
	refs := make([]Ref, count)
	for i := range refs {
		refs[i] = r.ref()
	}
	return refs
}

// heldList reads a list of attempts. Before it allocates the list, it checks that the bytes that follow can hold that
// many attempts.
func (r *fieldReader) heldList() []Held {
	start := r.offset
	count := int(r.uint16())
	if count*minHeldSize > len(r.unread) {
		r.failAt(start, ErrInvalidValue, fmt.Sprintf(": %d held in %d bytes", count, len(r.unread)))
		return nil
	}
	list := make([]Held, count)
	for i := range list {
		list[i] = Held{Ref: r.ref(), Phase: Phase(r.uint8UpTo(uint8(PhaseRunning))), Left: r.milliseconds(), Spec: r.spec()}
	}
	return list
}
