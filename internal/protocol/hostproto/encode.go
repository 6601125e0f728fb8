package hostproto

import (
	"encoding/binary"
	"fmt"
	"math"
	"time"
)

// Append appends the encoded frame to dst. It panics if the frame exceeds a limit: senders check users' input before
// they send it.
func Append(dst []byte, f Frame) []byte {
	start := len(dst)
	dst = append(dst, 0, 0, 0, 0, f.code()) // placeholder for the length, which is set below
	dst = f.appendFields(dst)
	size := len(dst) - start - lengthSize
	if size > MaxFrameSize {
		panic(fmt.Sprintf("hostproto: %T frame of %d bytes exceeds the limit of %d", f, size, MaxFrameSize))
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
	dst = binary.LittleEndian.AppendUint64(dst, uint64(f.Started)) // the start time of the host in nanoseconds
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

// appendFields truncates the text of a Bye to MaxTextSize: the text may be an error that contains a peer's input.
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

// appendMilliseconds appends a duration in milliseconds. A duration outside the range of the field is clamped to it.
func appendMilliseconds(dst []byte, d time.Duration) []byte {
	return binary.LittleEndian.AppendUint32(dst, uint32(min(max(d/time.Millisecond, 0), math.MaxUint32)))
}

func appendText(dst []byte, text string) []byte {
	if len(text) > MaxTextSize {
		panic(fmt.Sprintf("hostproto: text of %d bytes exceeds the limit of %d", len(text), MaxTextSize))
	}
	dst = binary.LittleEndian.AppendUint16(dst, uint16(len(text)))
	return append(dst, text...)
}

func appendPayload(dst, payload []byte) []byte {
	if len(payload) > MaxPayloadSize {
		panic(fmt.Sprintf("hostproto: payload of %d bytes exceeds the limit of %d", len(payload), MaxPayloadSize))
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

// appendReport appends a bool that tells whether there is a report, and the report if there is one.
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
