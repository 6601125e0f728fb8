// Package simadapter reads batches of events and writes replies in the simulator's
// binary frames. It knows nothing of placement.
package simadapter

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
)

// MaxFrame is the longest frame that ReadBatch accepts.
const MaxFrame = 256 << 20

// EveryPeer as the receiver of a Tell means all peers.
const EveryPeer = math.MaxUint32

// Event codes.
const (
	codeExisting        = 1
	codeBound           = 2
	codeClientLeft      = 3
	codeAnswer          = 4
	codeStatusBack      = 5
	codeAsk             = 6
	codeBoot            = 7
	codeTeardown        = 8
	codeFired           = 9
	codePage            = 10
	codeStatusNote      = 11
	codePeer            = 12
	codeDirectoryUpdate = 13
)

// The events of a batch. All but Page belong to one placer.
type (
	// Boot starts a placer.
	Boot struct {
		Placer uint32
		Seed   uint64
		Info   []byte
	}
	// Teardown ends a placer's life.
	Teardown struct{ Placer uint32 }
	// Page holds list entries under a number.
	Page struct {
		Roster  uint8
		Entries []Entry
	}
	// DirectoryUpdate refers to the entries of a Page.
	DirectoryUpdate struct {
		Placer, Epoch uint32
		How, Roster   uint8
	}
	// Ask is a task to place.
	Ask struct {
		Placer, ID    uint32
		Class         uint8
		Owner         uint16
		UID           uint64
		Budget        float64
		RunsFor       float64
		Group         uint64
		Cores, Memory float32
		Flags         uint8
	}
	// Existing hands over a running task.
	Existing struct {
		Ask
		Host uint32
	}
	// Bound says that a task is placed.
	Bound struct {
		Placer, ID uint32
		Duration   float64
		Host       uint32
		Leg        uint8
	}
	// StatusNote tells something of an attempt.
	StatusNote struct {
		Placer, ID uint32
		Leg        uint8
		Host       uint32
		Kind       uint8
		Amount     float32
	}
	// Answer ends an attempt.
	Answer struct {
		Placer, ID uint32
		Leg        uint8
		Host       uint32
		How        uint8
		Duration   float64
		Terminal   bool
		Remark     uint8
		Telemetry  []float32
	}
	// ClientLeft says that nobody waits for a request.
	ClientLeft struct{ Placer, ID uint32 }
	// Fired is a timer.
	Fired struct {
		Placer uint32
		Label  uint64
	}
	// StatusBack is the result of a Poll.
	StatusBack struct {
		Placer, Host uint32
		How          uint8
		Duration     float64
		Telemetry    []float32
	}
	// Peer is a message from another placer.
	Peer struct {
		Placer, Origin uint32
		Blob           []byte
	}
)

// Entry is one host of a Page.
type Entry struct {
	Launched         float64
	Host             uint32
	CPULeft, MemLeft float32
	Readiness, Model uint8
	Weight           float32
	Zone, Pod        uint16
}

const entrySize = 30

// Batch is one frame of events.
type Batch struct {
	Clock  float64
	Events []any
}

// ReadBatch reads one frame. It returns io.EOF where input ends at a frame's
// edge and an error that says what is wrong and where for anything malformed.
func ReadBatch(r io.Reader) (*Batch, error) {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		if err == io.EOF {
			return nil, io.EOF
		}
		return nil, fmt.Errorf("frame: length cut short: %w", err)
	}
	n := binary.LittleEndian.Uint32(head[:])
	if n < 12 || n > MaxFrame {
		return nil, fmt.Errorf("frame: length %d is not within 12 to %d", n, MaxFrame)
	}
	// The length is only a claim: the buffer grows with what has come.
	buf, err := io.ReadAll(io.LimitReader(r, int64(n)))
	if err != nil {
		return nil, fmt.Errorf("frame: %w", err)
	}
	if len(buf) < int(n) {
		return nil, fmt.Errorf("frame: %d bytes of %d, then the input ends", len(buf), n)
	}
	return DecodeBatch(buf)
}

// DecodeBatch decodes a frame without its length field.
func DecodeBatch(buf []byte) (*Batch, error) {
	if len(buf) < 12 {
		return nil, fmt.Errorf("frame: %d bytes, fewer than its header", len(buf))
	}
	b := &Batch{Clock: math.Float64frombits(binary.LittleEndian.Uint64(buf))}
	if math.IsNaN(b.Clock) || math.IsInf(b.Clock, 0) {
		return nil, errors.New("frame: the clock is not a finite number")
	}
	count := binary.LittleEndian.Uint32(buf[8:])
	rest := buf[12:]
	for i := uint32(0); i < count; i++ {
		at := len(buf) - len(rest)
		if len(rest) < 5 {
			return nil, fmt.Errorf("record %d at byte %d: header cut short", i, at)
		}
		code, n := rest[0], binary.LittleEndian.Uint32(rest[1:])
		rest = rest[5:]
		if uint64(n) > uint64(len(rest)) {
			return nil, fmt.Errorf("record %d at byte %d: %d bytes claimed, %d left", i, at, n, len(rest))
		}
		ev, err := decodeEvent(code, rest[:n])
		if err != nil {
			return nil, fmt.Errorf("record %d at byte %d, code %d: %w", i, at, code, err)
		}
		b.Events = append(b.Events, ev)
		rest = rest[n:]
	}
	if len(rest) > 0 {
		return nil, fmt.Errorf("frame: %d bytes after its last record", len(rest))
	}
	return b, nil
}

// fields takes a record's fields one after the other; the first that overruns
// the record sets short, and all after it are zero.
type fields struct {
	buf   []byte
	short bool
}

func (f *fields) take(n int) []byte {
	if f.short || n < 0 || n > len(f.buf) {
		f.short = true
		return make([]byte, min(max(n, 0), 8))
	}
	b := f.buf[:n]
	f.buf = f.buf[n:]
	return b
}

func (f *fields) u8() uint8    { return f.take(1)[0] }
func (f *fields) u16() uint16  { return binary.LittleEndian.Uint16(f.take(2)) }
func (f *fields) u32() uint32  { return binary.LittleEndian.Uint32(f.take(4)) }
func (f *fields) u64() uint64  { return binary.LittleEndian.Uint64(f.take(8)) }
func (f *fields) f32() float32 { return math.Float32frombits(f.u32()) }
func (f *fields) f64() float64 { return math.Float64frombits(f.u64()) }

// bytes takes n bytes, or none where the record has fewer.
func (f *fields) bytes(n uint32) []byte {
	if f.short || uint64(n) > uint64(len(f.buf)) {
		f.short = true
		return nil
	}
	return f.take(int(n))
}

func (f *fields) telemetry() []float32 {
	n := int(f.u8())
	if f.short || n*4 > len(f.buf) {
		f.short = true
		return nil
	}
	var t []float32
	for range n {
		t = append(t, f.f32())
	}
	return t
}

func (f *fields) ask() Ask {
	return Ask{
		Placer: f.u32(), ID: f.u32(), Class: f.u8(), Owner: f.u16(), UID: f.u64(), Budget: f.f64(),
		RunsFor: f.f64(), Group: f.u64(), Cores: f.f32(), Memory: f.f32(), Flags: f.u8(),
	}
}

func (f *fields) page() Page {
	p := Page{Roster: f.u8()}
	n := f.u32()
	if f.short || uint64(n)*entrySize > uint64(len(f.buf)) {
		f.short = true
		return p
	}
	p.Entries = make([]Entry, n)
	for i := range p.Entries {
		p.Entries[i] = Entry{
			Launched: f.f64(), Host: f.u32(), CPULeft: f.f32(), MemLeft: f.f32(), Readiness: f.u8(),
			Model: f.u8(), Weight: f.f32(), Zone: f.u16(), Pod: f.u16(),
		}
	}
	return p
}

func decodeEvent(code uint8, buf []byte) (any, error) {
	f := &fields{buf: buf}
	var ev any
	switch code {
	case codeExisting:
		ev = Existing{Ask: f.ask(), Host: f.u32()}
	case codeBound:
		ev = Bound{Placer: f.u32(), ID: f.u32(), Duration: f.f64(), Host: f.u32(), Leg: f.u8()}
	case codeClientLeft:
		ev = ClientLeft{Placer: f.u32(), ID: f.u32()}
	case codeAnswer:
		ev = Answer{
			Placer: f.u32(), ID: f.u32(), Leg: f.u8(), Host: f.u32(), How: f.u8(), Duration: f.f64(),
			Terminal: f.u8() != 0, Remark: f.u8(), Telemetry: f.telemetry(),
		}
	case codeStatusBack:
		ev = StatusBack{Placer: f.u32(), Host: f.u32(), How: f.u8(), Duration: f.f64(), Telemetry: f.telemetry()}
	case codeAsk:
		ev = f.ask()
	case codeBoot:
		b := Boot{Placer: f.u32(), Seed: f.u64()}
		b.Info = f.bytes(f.u32())
		ev = b
	case codeTeardown:
		ev = Teardown{Placer: f.u32()}
	case codeFired:
		ev = Fired{Placer: f.u32(), Label: f.u64()}
	case codePage:
		ev = f.page()
	case codeStatusNote:
		ev = StatusNote{
			Placer: f.u32(), ID: f.u32(), Leg: f.u8(), Host: f.u32(), Kind: f.u8(), Amount: f.f32(),
		}
	case codePeer:
		p := Peer{Placer: f.u32(), Origin: f.u32()}
		p.Blob = f.bytes(uint32(f.u16()))
		ev = p
	case codeDirectoryUpdate:
		u := DirectoryUpdate{Placer: f.u32(), How: f.u8()}
		u.Epoch, u.Roster = f.u32(), f.u8()
		ev = u
	default:
		return nil, errors.New("unknown event code")
	}
	if f.short {
		return nil, fmt.Errorf("its fields need more than its %d bytes", len(buf))
	}
	if len(f.buf) > 0 {
		return nil, fmt.Errorf("%d bytes after its fields", len(f.buf))
	}
	return ev, nil
}
