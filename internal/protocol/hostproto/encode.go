package hostproto

import (
	"encoding/binary"
	"fmt"
	"math"
	"time"
)

// Append appends a frame as it is sent. It panics if the frame is over a bound: senders check what users gave them before.
func Append(dst []byte, f Frame) []byte {
	start := len(dst)
	dst = append(dst, 0, 0, 0, 0, f.code()) // the length is known at the end
	dst = f.appendFields(dst)
	size := len(dst) - start - lengthSize
	if size > MaxFrameSize {
		panic(fmt.Sprintf("hostproto: a %T of %d bytes", f, size))
	}
	binary.LittleEndian.PutUint32(dst[start:], uint32(size))
	return dst
}

func (f Hello) appendFields(dst []byte) []byte {
	dst = append(dst, f.Version)
	dst = binary.LittleEndian.AppendUint16(dst, f.Placer)
	dst = binary.LittleEndian.AppendUint64(dst, f.Epoch)
	return binary.LittleEndian.AppendUint32(dst, f.Conn)
}

func (f Offer) appendFields(dst []byte) []byte {
	dst = appendRef(dst, f.Ref)
	dst = appendMilliseconds(dst, f.Wait)
	dst = appendSpec(dst, &f.Spec)
	return appendPayload(dst, f.Payload)
}

func (f Withdraw) appendFields(dst []byte) []byte { return appendRef(dst, f.Ref) }

func (f Stop) appendFields(dst []byte) []byte {
	dst = appendRef(dst, f.Ref)
	return appendMilliseconds(dst, f.Grace)
}

func (f Probe) appendFields(dst []byte) []byte { return binary.LittleEndian.AppendUint32(dst, f.ID) }

func (f Query) appendFields(dst []byte) []byte {
	dst = binary.LittleEndian.AppendUint16(dst, uint16(len(f.Refs)))
	for _, ref := range f.Refs {
		dst = appendRef(dst, ref)
	}
	return dst
}

func (f Welcome) appendFields(dst []byte) []byte {
	dst = append(dst, f.Version)
	dst = appendText(dst, f.Host)
	dst = binary.LittleEndian.AppendUint64(dst, f.Epoch)
	dst = binary.LittleEndian.AppendUint64(dst, uint64(f.Started)) // in nanoseconds
	dst = appendBool(dst, f.Draining)
	return binary.LittleEndian.AppendUint32(dst, f.Count)
}

func (f Holds) appendFields(dst []byte) []byte {
	dst = binary.LittleEndian.AppendUint16(dst, uint16(len(f.Held)))
	for i := range f.Held {
		held := &f.Held[i]
		dst = appendRef(dst, held.Ref)
		dst = append(dst, uint8(held.Phase))
		dst = appendMilliseconds(dst, held.Left)
		dst = appendSpec(dst, &held.Spec)
	}
	return dst
}

func (f Refused) appendFields(dst []byte) []byte {
	dst = appendRef(dst, f.Ref)
	dst = append(dst, uint8(f.Reason))
	return appendReport(dst, f.Report)
}

func (f Accepted) appendFields(dst []byte) []byte { return appendRef(dst, f.Ref) }

func (f Running) appendFields(dst []byte) []byte { return appendRef(dst, f.Ref) }

func (f Note) appendFields(dst []byte) []byte {
	dst = appendRef(dst, f.Ref)
	dst = append(dst, f.Kind)
	return appendFloat32(dst, f.Amount)
}

func (f Ended) appendFields(dst []byte) []byte {
	dst = appendRef(dst, f.Ref)
	dst = append(dst, uint8(f.Result))
	return appendReport(dst, f.Report)
}

func (f Probed) appendFields(dst []byte) []byte {
	dst = binary.LittleEndian.AppendUint32(dst, f.ID)
	return appendReport(dst, f.Report)
}

func (f Drain) appendFields(dst []byte) []byte { return appendBool(dst, f.On) }

// appendFields cuts the text of a Bye at its bound: it may be the error of a peer's input.
func (f Bye) appendFields(dst []byte) []byte {
	return appendText(dst, f.Text[:min(len(f.Text), MaxTextSize)])
}

func appendBool(dst []byte, v bool) []byte {
	if v {
		return append(dst, 1)
	}
	return append(dst, 0)
}

func appendFloat32(dst []byte, v float32) []byte {
	return binary.LittleEndian.AppendUint32(dst, math.Float32bits(v))
}

// appendMilliseconds appends a duration. What the field cannot hold becomes the nearest that it can.
func appendMilliseconds(dst []byte, d time.Duration) []byte {
	return binary.LittleEndian.AppendUint32(dst, uint32(min(max(d/time.Millisecond, 0), math.MaxUint32)))
}

func appendText(dst []byte, text string) []byte {
	if len(text) > MaxTextSize {
		panic("hostproto: a text over its limit")
	}
	dst = binary.LittleEndian.AppendUint16(dst, uint16(len(text)))
	return append(dst, text...)
}

func appendPayload(dst, payload []byte) []byte {
	if len(payload) > MaxPayloadSize {
		panic("hostproto: a payload over its limit")
	}
	dst = binary.LittleEndian.AppendUint16(dst, uint16(len(payload)))
	return append(dst, payload...)
}

func appendRef(dst []byte, ref Ref) []byte {
	dst = binary.LittleEndian.AppendUint64(dst, ref.Epoch)
	dst = binary.LittleEndian.AppendUint32(dst, ref.Task)
	return append(dst, ref.Attempt)
}

func appendSpec(dst []byte, spec *Spec) []byte {
	dst = binary.LittleEndian.AppendUint64(dst, spec.Key)
	dst = binary.LittleEndian.AppendUint64(dst, spec.Service)
	dst = binary.LittleEndian.AppendUint64(dst, spec.Fingerprint)
	dst = appendText(dst, spec.Name)
	dst = appendText(dst, spec.Class)
	dst = appendText(dst, spec.Tenant)
	dst = append(dst, spec.Effect, spec.Priority)
	dst = binary.LittleEndian.AppendUint32(dst, spec.Cores)
	dst = binary.LittleEndian.AppendUint32(dst, spec.Memory)
	return appendMilliseconds(dst, spec.Life)
}

// appendReport appends whether there is a report, and the report.
func appendReport(dst []byte, report *Report) []byte {
	if report == nil {
		return appendBool(dst, false)
	}
	dst = appendBool(dst, true)
	dst = appendFloat32(dst, report.Cores)
	dst = appendFloat32(dst, report.Memory)
	dst = appendFloat32(dst, report.Queue)
	return appendFloat32(dst, report.Util)
}
