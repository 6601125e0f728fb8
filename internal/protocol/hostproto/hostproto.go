// Package hostproto is the protocol between placers and hosts: binary frames over a stream.
// docs/protocols.md describes it. The package turns frames into bytes and back and holds no
// connection; decoding allocates no more than the frame's own length, which is bounded.
package hostproto

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"time"
)

// Version is the protocol's version. Both ends say theirs and part if they differ.
const Version = 1

// Limits of a frame.
const (
	MaxFrameSize   = 64 << 10 // bytes behind the length field
	MaxTextSize    = 1 << 10  // bytes of a name or an error
	MaxPayloadSize = 48 << 10 // bytes of a task's payload
	MaxQueryRefs   = 1000     // refs in one Query
	MaxHoldsSize   = 64 << 10 // bytes of one Holds frame
)

// Ref names an attempt: the life of the placer that made it, the ask and the attempt's number.
type Ref struct {
	Epoch   uint64
	Task    uint32
	Attempt uint8
}

// Spec is what a host is told of a task.
type Spec struct {
	Key         uint64 // the task, the same at every attempt and ask
	Service     uint64
	Fingerprint uint64 // changes with what the task is made of
	Name        string // PROJECT/SERVICE/REPLICA
	Class       string
	Tenant      string
	Effect      uint8 // forkhead.Effect
	Priority    uint8
	Cores       uint32        // thousandths of a core
	Memory      uint32        // MiB
	Life        time.Duration // how long it runs, roughly; 0: not told; whole milliseconds
}

// Phase says how far a host is with an attempt.
type Phase uint8

// The phases.
const (
	PhaseQueued   Phase = iota // not looked at
	PhaseStarting              // accepted
	PhaseRunning
)

// Result says how an attempt ended.
type Result uint8

// The results.
const (
	Done      Result = iota // ended well
	Failed                  // ended with an error
	Evicted                 // memory ran out
	Preempted               // for a higher priority
	Dismissed               // the host drains
	Stopped                 // by the placer
	Canceled                // withdrawn before it was accepted: it never ran
	Forgotten               // the host no longer knows: it may have run
)

// Reason says why an offer was refused. The values are those of forkhead.Reason.
type Reason uint8

// The reasons.
const (
	NoReason Reason = iota
	InsufficientCores
	InsufficientMemory
	QueueFull
	Unsuitable
)

// Report is a host's load. Values that are not told are NaN.
type Report struct{ Cores, Memory, Queue, Util float32 }

// Frame is one message.
type Frame interface{ code() uint8 }

// Frames from a placer to a host.
type (
	// Hello opens a connection. Of two connections of one placer's life the higher Conn counts,
	// and a later life ends an earlier one.
	Hello struct {
		Version uint8
		Placer  uint16
		Epoch   uint64
		Conn    uint32
	}
	// Offer asks the host to take a task.
	Offer struct {
		Ref     Ref
		Wait    time.Duration // an answer later than this is of no use; whole milliseconds
		Spec    Spec
		Payload []byte // JSON that only the host acts on
	}
	// Withdraw calls off an offer. The host answers Ended(Called), or goes on if it has accepted.
	Withdraw struct{ Ref Ref }
	// Stop ends a task after a grace, in whole milliseconds; 0: the host's own.
	Stop struct {
		Ref   Ref
		Grace time.Duration
	}
	// Probe asks for a Probed with the same number.
	Probe struct{ ID uint32 }
	// Query asks what became of attempts that Holds did not name: each is answered by Refused
	// (it never came), Ended, or Accepted and Running.
	Query struct{ Refs []Ref }
)

// Frames from a host to a placer.
type (
	// Welcome answers Hello. Holds frames with Count attempts in all follow.
	Welcome struct {
		Version  uint8
		Host     string
		Epoch    uint64 // of this life of the host; a later life has a higher one
		Started  time.Duration
		Draining bool
		Count    uint32
	}
	// Holds lists attempts of this placer's number, of any life, that the host has.
	Holds struct{ Held []Held }
	// Refused says that an offer was not taken: it never ran.
	Refused struct {
		Ref    Ref
		Reason Reason
		Report *Report
	}
	// Accepted says that the host holds the task.
	Accepted struct{ Ref Ref }
	// Running says that the task runs.
	Running struct{ Ref Ref }
	// Note tells something of a task: forkhead.NoteKind and its amount.
	Note struct {
		Ref    Ref
		Kind   uint8
		Amount float32
	}
	// Ended says that an attempt is over.
	Ended struct {
		Ref    Ref
		Result Result
		Report *Report
	}
	// Probed answers Probe.
	Probed struct {
		ID     uint32
		Report *Report
	}
	// Drain says that the host drains from now on, or no more.
	Drain struct{ On bool }
	// Bye says why a connection is about to be closed. Either side sends it.
	Bye struct{ Text string }
)

// Held is an attempt that a host has.
type Held struct {
	Ref   Ref
	Phase Phase
	Left  time.Duration // of its life, whole milliseconds
	Spec  Spec
}

func (Hello) code() uint8    { return 1 }
func (Offer) code() uint8    { return 2 }
func (Withdraw) code() uint8 { return 3 }
func (Stop) code() uint8     { return 4 }
func (Probe) code() uint8    { return 5 }
func (Query) code() uint8    { return 6 }
func (Welcome) code() uint8  { return 32 }
func (Holds) code() uint8    { return 33 }
func (Refused) code() uint8  { return 34 }
func (Accepted) code() uint8 { return 35 }
func (Running) code() uint8  { return 36 }
func (Note) code() uint8     { return 37 }
func (Ended) code() uint8    { return 38 }
func (Probed) code() uint8   { return 39 }
func (Drain) code() uint8    { return 40 }
func (Bye) code() uint8      { return 41 }

// Append writes a frame behind dst. It panics if the frame is over its limits: those that send
// check what users gave them before.
func Append(dst []byte, f Frame) []byte {
	at := len(dst)
	e := encoder{append(dst, 0, 0, 0, 0, f.code())}
	switch f := f.(type) {
	case Hello:
		e.u8(f.Version)
		e.u16(f.Placer)
		e.u64(f.Epoch)
		e.u32(f.Conn)
	case Offer:
		e.ref(f.Ref)
		e.ms(f.Wait)
		e.spec(&f.Spec)
		e.bytes(f.Payload)
	case Withdraw:
		e.ref(f.Ref)
	case Stop:
		e.ref(f.Ref)
		e.ms(f.Grace)
	case Probe:
		e.u32(f.ID)
	case Query:
		e.u16(uint16(len(f.Refs)))
		for _, r := range f.Refs {
			e.ref(r)
		}
	case Welcome:
		e.u8(f.Version)
		e.text(f.Host)
		e.u64(f.Epoch)
		e.u64(uint64(f.Started))
		e.bool(f.Draining)
		e.u32(f.Count)
	case Holds:
		e.u16(uint16(len(f.Held)))
		for i := range f.Held {
			h := &f.Held[i]
			e.ref(h.Ref)
			e.u8(uint8(h.Phase))
			e.ms(h.Left)
			e.spec(&h.Spec)
		}
	case Refused:
		e.ref(f.Ref)
		e.u8(uint8(f.Reason))
		e.report(f.Report)
	case Accepted:
		e.ref(f.Ref)
	case Running:
		e.ref(f.Ref)
	case Note:
		e.ref(f.Ref)
		e.u8(f.Kind)
		e.f32(f.Amount)
	case Ended:
		e.ref(f.Ref)
		e.u8(uint8(f.Result))
		e.report(f.Report)
	case Probed:
		e.u32(f.ID)
		e.report(f.Report)
	case Drain:
		e.bool(f.On)
	case Bye:
		e.text(f.Text[:min(len(f.Text), MaxTextSize)])
	}
	n := len(e.b) - at - 4
	if n > MaxFrameSize {
		panic(fmt.Sprintf("hostproto: a %T of %d bytes", f, n))
	}
	binary.LittleEndian.PutUint32(e.b[at:], uint32(n))
	return e.b
}

type encoder struct{ b []byte }

func (e *encoder) u8(v uint8)    { e.b = append(e.b, v) }
func (e *encoder) u16(v uint16)  { e.b = binary.LittleEndian.AppendUint16(e.b, v) }
func (e *encoder) u32(v uint32)  { e.b = binary.LittleEndian.AppendUint32(e.b, v) }
func (e *encoder) u64(v uint64)  { e.b = binary.LittleEndian.AppendUint64(e.b, v) }
func (e *encoder) f32(v float32) { e.u32(math.Float32bits(v)) }

func (e *encoder) bool(v bool) {
	if v {
		e.u8(1)
	} else {
		e.u8(0)
	}
}

func (e *encoder) ms(d time.Duration) {
	e.u32(uint32(min(max(d/time.Millisecond, 0), math.MaxUint32)))
}

func (e *encoder) text(s string) {
	if len(s) > MaxTextSize {
		panic("hostproto: a text over its limit")
	}
	e.u16(uint16(len(s)))
	e.b = append(e.b, s...)
}

func (e *encoder) bytes(p []byte) {
	if len(p) > MaxPayloadSize {
		panic("hostproto: a payload over its limit")
	}
	e.u16(uint16(len(p)))
	e.b = append(e.b, p...)
}

func (e *encoder) ref(r Ref) {
	e.u64(r.Epoch)
	e.u32(r.Task)
	e.u8(r.Attempt)
}

func (e *encoder) spec(s *Spec) {
	e.u64(s.Key)
	e.u64(s.Service)
	e.u64(s.Fingerprint)
	e.text(s.Name)
	e.text(s.Class)
	e.text(s.Tenant)
	e.u8(s.Effect)
	e.u8(s.Priority)
	e.u32(s.Cores)
	e.u32(s.Memory)
	e.ms(s.Life)
}

func (e *encoder) report(r *Report) {
	e.bool(r != nil)
	if r != nil {
		e.f32(r.Cores)
		e.f32(r.Memory)
		e.f32(r.Queue)
		e.f32(r.Util)
	}
}

// HeldSize is an upper bound of what a Held takes in a Holds frame.
func HeldSize(s *Spec) int { return 80 + len(s.Name) + len(s.Class) + len(s.Tenant) }

// Faults of a stream. After any of them the connection is of no more use.
var (
	ErrFrameTooLong  = errors.New("a frame is longer than allowed")
	ErrTruncated     = errors.New("a frame ends before its fields do")
	ErrTrailingBytes = errors.New("a frame goes on behind its fields")
	ErrUnknownCode   = errors.New("a frame has an unknown code")
	ErrInvalidValue  = errors.New("a field has a value that is not allowed")
)

// Decoder cuts a stream into frames. Its buffer never holds more than one frame.
type Decoder struct {
	rest []byte
	err  error
}

// Feed takes in bytes and calls take for each frame that is complete. It returns the first
// fault of the stream, or of take, and the same one ever after.
func (d *Decoder) Feed(p []byte, take func(Frame) error) error {
	if d.err != nil {
		return d.err
	}
	if len(d.rest) > 0 {
		// Only as much as completes the frame in hand is copied.
		for len(d.rest) < 4 && len(p) > 0 {
			d.rest, p = append(d.rest, p[0]), p[1:]
		}
		if len(d.rest) < 4 {
			return nil
		}
		n, err := frameLength(d.rest)
		if err != nil {
			return d.fail(err)
		}
		part := min(4+n-len(d.rest), len(p))
		d.rest, p = append(d.rest, p[:part]...), p[part:]
		if len(d.rest) < 4+n {
			return nil
		}
		whole := d.rest
		d.rest = d.rest[:0]
		if err := give(whole[4:], take); err != nil {
			return d.fail(err)
		}
	}
	for len(p) >= 4 {
		n, err := frameLength(p)
		if err != nil {
			return d.fail(err)
		}
		if len(p) < 4+n {
			break
		}
		if err := give(p[4:4+n], take); err != nil {
			return d.fail(err)
		}
		p = p[4+n:]
	}
	d.rest = append(d.rest[:0], p...)
	return nil
}

func (d *Decoder) fail(err error) error {
	d.err, d.rest = err, nil
	return err
}

func frameLength(p []byte) (int, error) {
	n := binary.LittleEndian.Uint32(p)
	if n > MaxFrameSize {
		return 0, fmt.Errorf("%w: %d bytes, at most %d", ErrFrameTooLong, n, MaxFrameSize)
	}
	if n < 1 {
		return 0, ErrTruncated
	}
	return int(n), nil
}

func give(p []byte, take func(Frame) error) error {
	f, err := Decode(p)
	if err != nil {
		return err
	}
	return take(f)
}

// Decode reads one frame: its code and fields, without the length.
func Decode(p []byte) (Frame, error) {
	if len(p) == 0 {
		return nil, ErrTruncated
	}
	d := reader{b: p[1:]}
	var f Frame
	switch p[0] {
	case 1:
		f = Hello{d.u8(), d.u16(), d.u64(), d.u32()}
	case 2:
		f = Offer{d.ref(), d.ms(), d.spec(), d.bytes()}
	case 3:
		f = Withdraw{d.ref()}
	case 4:
		f = Stop{d.ref(), d.ms()}
	case 5:
		f = Probe{d.u32()}
	case 6:
		n := int(d.u16())
		if n > MaxQueryRefs || n*13 > len(d.b) {
			return nil, fmt.Errorf("%w: a query of %d", ErrInvalidValue, n)
		}
		refs := make([]Ref, n)
		for i := range refs {
			refs[i] = d.ref()
		}
		f = Query{refs}
	case 32:
		f = Welcome{d.u8(), d.text(), d.u64(), time.Duration(d.u64()), d.bool(), d.u32()}
	case 33:
		n := int(d.u16())
		if n*60 > len(d.b) { // less than the least that a Held takes
			return nil, fmt.Errorf("%w: %d held in %d bytes", ErrInvalidValue, n, len(d.b))
		}
		held := make([]Held, n)
		for i := range held {
			held[i] = Held{d.ref(), Phase(d.most(uint8(PhaseRunning))), d.ms(), d.spec()}
		}
		f = Holds{held}
	case 34:
		f = Refused{d.ref(), Reason(d.most(uint8(Unsuitable))), d.report()}
	case 35:
		f = Accepted{d.ref()}
	case 36:
		f = Running{d.ref()}
	case 37:
		f = Note{d.ref(), d.u8(), d.f32()}
	case 38:
		f = Ended{d.ref(), Result(d.most(uint8(Forgotten))), d.report()}
	case 39:
		f = Probed{d.u32(), d.report()}
	case 40:
		f = Drain{d.bool()}
	case 41:
		f = Bye{d.text()}
	default:
		return nil, fmt.Errorf("%w: %d", ErrUnknownCode, p[0])
	}
	if d.err != nil {
		return nil, fmt.Errorf("%w (code %d)", d.err, p[0])
	}
	if len(d.b) > 0 {
		return nil, fmt.Errorf("%w (code %d)", ErrTrailingBytes, p[0])
	}
	return f, nil
}

type reader struct {
	b   []byte
	err error
}

func (d *reader) take(n int) []byte {
	if len(d.b) < n {
		d.b = nil
		if d.err == nil {
			d.err = ErrTruncated
		}
		return make([]byte, min(n, 8))
	}
	p := d.b[:n]
	d.b = d.b[n:]
	return p
}

func (d *reader) u8() uint8    { return d.take(1)[0] }
func (d *reader) u16() uint16  { return binary.LittleEndian.Uint16(d.take(2)) }
func (d *reader) u32() uint32  { return binary.LittleEndian.Uint32(d.take(4)) }
func (d *reader) u64() uint64  { return binary.LittleEndian.Uint64(d.take(8)) }
func (d *reader) f32() float32 { return math.Float32frombits(d.u32()) }

func (d *reader) ms() time.Duration { return time.Duration(d.u32()) * time.Millisecond }

func (d *reader) most(n uint8) uint8 {
	v := d.u8()
	if v > n && d.err == nil {
		d.err = ErrInvalidValue
	}
	return v
}

func (d *reader) bool() bool { return d.most(1) == 1 }

func (d *reader) text() string {
	n := int(d.u16())
	if n > MaxTextSize && d.err == nil {
		d.err = ErrInvalidValue
		return ""
	}
	if n > len(d.b) {
		d.take(n)
		return ""
	}
	return string(d.take(n))
}

func (d *reader) bytes() []byte {
	n := int(d.u16())
	if n > MaxPayloadSize && d.err == nil {
		d.err = ErrInvalidValue
		return nil
	}
	if n > len(d.b) {
		d.take(n)
		return nil
	}
	if n == 0 {
		return nil
	}
	return append([]byte(nil), d.take(n)...)
}

func (d *reader) ref() Ref { return Ref{d.u64(), d.u32(), d.u8()} }

func (d *reader) spec() Spec {
	return Spec{
		Key: d.u64(), Service: d.u64(), Fingerprint: d.u64(), Name: d.text(), Class: d.text(), Tenant: d.text(),
		Effect: d.most(2), Priority: d.u8(), Cores: d.u32(), Memory: d.u32(), Life: d.ms(),
	}
}

func (d *reader) report() *Report {
	if !d.bool() {
		return nil
	}
	return &Report{d.f32(), d.f32(), d.f32(), d.f32()}
}
