package simadapter

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
)

// Sizes on the wire, in bytes.
const (
	// MaxFrame is the longest frame that ReadBatch accepts.
	MaxFrame = 256 << 20

	batchHeaderSize  = 12 // clock and number of records
	recordHeaderSize = 5  // code and length
	machineSize      = 30
)

// Codes of events.
const (
	codeHandOver         = 1
	codeBound            = 2
	codeRequestCanceled  = 3
	codeOutcome          = 4
	codeProbed           = 5
	codePlacementRequest = 6
	codeStart            = 7
	codeTeardown         = 8
	codeTimerFired       = 9
	codeEndpointList     = 10
	codeNote             = 11
	codeReceived         = 12
	codeListUpdate       = 13
)

// ReadBatch reads one frame. It returns io.EOF if the input ends before the first byte of the frame. If the frame is
// malformed, it returns an error that describes the fault and its position.
func ReadBatch(r io.Reader) (*Batch, error) {
	var header [4]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		if errors.Is(err, io.EOF) {
			return nil, io.EOF
		}
		return nil, fmt.Errorf("frame: reading the length field: %w", err)
	}
	length := binary.LittleEndian.Uint32(header[:])
	if length < batchHeaderSize || length > MaxFrame {
		return nil, fmt.Errorf("frame: length is %d bytes, want %d to %d", length, batchHeaderSize, MaxFrame)
	}
	// The length may be wrong, so the buffer grows with the bytes that arrive instead of being allocated at once.
	frame, err := io.ReadAll(io.LimitReader(r, int64(length)))
	if err != nil {
		return nil, fmt.Errorf("frame: %w", err)
	}
	if len(frame) < int(length) {
		return nil, fmt.Errorf("frame: input ends after %d of %d bytes", len(frame), length)
	}
	return DecodeBatch(frame)
}

// DecodeBatch decodes a frame without its length field. The events of the batch share memory with frame.
func DecodeBatch(frame []byte) (*Batch, error) {
	if len(frame) < batchHeaderSize {
		return nil, fmt.Errorf("frame: %d bytes, want at least %d for the header", len(frame), batchHeaderSize)
	}
	b := &Batch{Clock: math.Float64frombits(binary.LittleEndian.Uint64(frame))}
	if math.IsNaN(b.Clock) || math.IsInf(b.Clock, 0) {
		return nil, errors.New("frame: the clock is not a finite number")
	}
	records := binary.LittleEndian.Uint32(frame[8:])
	rest := frame[batchHeaderSize:]
	for i := range records {
		offset := len(frame) - len(rest)
		if len(rest) < recordHeaderSize {
			return nil, fmt.Errorf("record %d at byte %d: header needs %d bytes, %d left", i, offset, recordHeaderSize, len(rest))
		}
		code, length := rest[0], binary.LittleEndian.Uint32(rest[1:])
		rest = rest[recordHeaderSize:]
		if uint64(length) > uint64(len(rest)) {
			return nil, fmt.Errorf("record %d at byte %d: length is %d bytes, %d left", i, offset, length, len(rest))
		}
		event, err := decodeEvent(code, rest[:length])
		if err != nil {
			return nil, fmt.Errorf("record %d at byte %d, code %d: %w", i, offset, code, err)
		}
		b.Events = append(b.Events, event)
		rest = rest[length:]
	}
	if len(rest) > 0 {
		return nil, fmt.Errorf("frame: %d bytes after its last record", len(rest))
	}
	return b, nil
}

// decodeEvent decodes the event in a record. The parameter record does not include the header of the record.
func decodeEvent(code uint8, record []byte) (Event, error) {
	if int(code) >= len(decoders) || decoders[code] == nil {
		return nil, errors.New("unknown event code")
	}
	f := &fieldReader{buf: record}
	event := decoders[code](f)
	if f.overrun {
		return nil, fmt.Errorf("fields extend beyond the record's %d bytes", len(record))
	}
	if len(f.buf) > 0 {
		return nil, fmt.Errorf("%d bytes left after the last field", len(f.buf))
	}
	return event, nil
}

// decoders maps an event's code to the function that decodes its fields. The order of the fields in each composite literal
// is their order on the wire, because Go evaluates the calls in that order.
var decoders = [...]func(f *fieldReader) Event{
	codeHandOver: func(f *fieldReader) Event {
		return HandOver{PlacementRequest: f.placementRequest(), Machine: f.uint32()}
	},
	codeBound: func(f *fieldReader) Event {
		return Bound{Placer: f.uint32(), Task: f.uint32(), Took: f.float64(), Machine: f.uint32(), Attempt: f.uint8()}
	},
	codeRequestCanceled: func(f *fieldReader) Event { return RequestCanceled{Placer: f.uint32(), Task: f.uint32()} },
	codeOutcome: func(f *fieldReader) Event {
		return Outcome{
			Placer: f.uint32(), Task: f.uint32(), Attempt: f.uint8(), Machine: f.uint32(), Result: f.uint8(), Took: f.float64(),
			Final: f.uint8() != 0, Reason: f.uint8(), Report: f.report(),
		}
	},
	codeProbed: func(f *fieldReader) Event {
		return Probed{Placer: f.uint32(), Machine: f.uint32(), Result: f.uint8(), Took: f.float64(), Report: f.report()}
	},
	codePlacementRequest: func(f *fieldReader) Event { return f.placementRequest() },
	codeStart: func(f *fieldReader) Event {
		return Start{Placer: f.uint32(), Seed: f.uint64(), Config: f.bytes(f.uint32())}
	},
	codeTeardown:     func(f *fieldReader) Event { return Teardown{Placer: f.uint32()} },
	codeTimerFired:   func(f *fieldReader) Event { return TimerFired{Placer: f.uint32(), Timer: f.uint64()} },
	codeEndpointList: func(f *fieldReader) Event { return f.endpointList() },
	codeNote: func(f *fieldReader) Event {
		return Note{
			Placer: f.uint32(), Task: f.uint32(), Attempt: f.uint8(), Machine: f.uint32(), Kind: f.uint8(), Amount: f.float32(),
		}
	},
	codeReceived: func(f *fieldReader) Event {
		return Received{Placer: f.uint32(), From: f.uint32(), Data: f.bytes(uint32(f.uint16()))}
	},
	codeListUpdate: func(f *fieldReader) Event {
		return ListUpdate{Placer: f.uint32(), Mode: f.uint8(), Epoch: f.uint32(), List: f.uint8()}
	},
}
