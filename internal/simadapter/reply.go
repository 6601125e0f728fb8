package simadapter

import (
	"encoding/binary"
	"io"
	"math"
)

// Action codes.
const (
	codePut         = 1
	codeNotNow      = 2
	codeGiveUp      = 3
	codeDropAttempt = 4
	codeSleep       = 5
	codePoll        = 6
	codeTell        = 8
	codeLog         = 9
	codeCrash       = 10
	codeWatch       = 11
	codeUnseat      = 13
)

// Reply collects the actions that answer one batch.
type Reply struct{ buf []byte }

// Reset empties the reply.
func (r *Reply) Reset() { r.buf = append(r.buf[:0], 0, 0, 0, 0) }

// WriteTo writes the reply as one frame.
func (r *Reply) WriteTo(w io.Writer) (int64, error) {
	if len(r.buf) == 0 {
		r.Reset()
	}
	binary.LittleEndian.PutUint32(r.buf, uint32(len(r.buf)-4))
	n, err := w.Write(r.buf)
	return int64(n), err
}

func (r *Reply) head(code uint8, placer uint32, more int) {
	r.buf = append(r.buf, code)
	r.u32(uint32(4 + more))
	r.u32(placer)
}

func (r *Reply) u32(v uint32)  { r.buf = binary.LittleEndian.AppendUint32(r.buf, v) }
func (r *Reply) u64(v uint64)  { r.buf = binary.LittleEndian.AppendUint64(r.buf, v) }
func (r *Reply) f64(v float64) { r.u64(math.Float64bits(v)) }

func (r *Reply) text(b []byte) {
	r.buf = binary.LittleEndian.AppendUint16(r.buf, uint16(len(b)))
	r.buf = append(r.buf, b...)
}

func clip(b []byte) []byte { return b[:min(len(b), math.MaxUint16)] }

// Put starts an attempt.
func (r *Reply) Put(placer, id, host uint32, limit float64) {
	r.head(codePut, placer, 16)
	r.u32(id)
	r.u32(host)
	r.f64(limit)
}

// NotNow refuses a request.
func (r *Reply) NotNow(placer, id uint32, stayAway float64) {
	r.head(codeNotNow, placer, 12)
	r.u32(id)
	r.f64(stayAway)
}

// GiveUp fails a request.
func (r *Reply) GiveUp(placer, id uint32) {
	r.head(codeGiveUp, placer, 4)
	r.u32(id)
}

// DropAttempt stops waiting for an attempt.
func (r *Reply) DropAttempt(placer, id uint32, leg uint8) {
	r.head(codeDropAttempt, placer, 5)
	r.u32(id)
	r.buf = append(r.buf, leg)
}

// Unseat stops a placed task.
func (r *Reply) Unseat(placer, id uint32) {
	r.head(codeUnseat, placer, 4)
	r.u32(id)
}

// Sleep asks for a Fired event.
func (r *Reply) Sleep(placer uint32, label uint64, at float64) {
	r.head(codeSleep, placer, 16)
	r.u64(label)
	r.f64(at)
}

// Poll probes a host.
func (r *Reply) Poll(placer, host uint32) {
	r.head(codePoll, placer, 4)
	r.u32(host)
}

// Tell sends a message to a peer or to EveryPeer.
func (r *Reply) Tell(placer, dest uint32, blob []byte) {
	blob = clip(blob)
	r.head(codeTell, placer, 6+len(blob))
	r.u32(dest)
	r.text(blob)
}

// Watch subscribes to the list.
func (r *Reply) Watch(placer uint32, on bool) {
	r.head(codeWatch, placer, 1)
	b := byte(0)
	if on {
		b = 1
	}
	r.buf = append(r.buf, b)
}

// Log records a line in the report.
func (r *Reply) Log(placer uint32, line string) {
	b := clip([]byte(line))
	r.head(codeLog, placer, 2+len(b))
	r.text(b)
}

// Crash says that the decision code failed.
func (r *Reply) Crash(placer uint32, line string) {
	b := clip([]byte(line))
	r.head(codeCrash, placer, 2+len(b))
	r.text(b)
}
