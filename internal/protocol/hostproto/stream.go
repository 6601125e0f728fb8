package hostproto

import (
	"encoding/binary"
	"fmt"
)

// Decoder splits a stream into frames and decodes them. The zero value is ready to use. It buffers at most one
// incomplete frame. It is not safe for concurrent use.
type Decoder struct {
	partial []byte // the incomplete frame
	err     error
}

// Feed processes the next bytes of the stream and calls handle for each frame that they complete. It stops at the first
// error, a *FrameError or an error of handle, and returns this error from then on. It does not retain p.
func (d *Decoder) Feed(p []byte, handle func(Frame) error) error {
	if d.err != nil {
		return d.err
	}
	if err := d.feed(p, handle); err != nil {
		d.err, d.partial = err, nil
	}
	return d.err
}

func (d *Decoder) feed(p []byte, handle func(Frame) error) error {
	if len(d.partial) > 0 {
		body, rest, err := d.completePartial(p)
		if err != nil || body == nil {
			return err
		}
		if err := decodeAndHandle(body, handle); err != nil {
			return err
		}
		p = rest
	}
	for {
		body, rest, err := firstFrame(p)
		if err != nil {
			return err
		}
		if body == nil {
			break
		}
		if err := decodeAndHandle(body, handle); err != nil {
			return err
		}
		p = rest
	}
	d.partial = append(d.partial[:0], p...)
	return nil
}

// completePartial appends the first bytes of p to the partial frame until the frame is complete, and returns the other
// bytes of p as rest. body is the complete frame without its length, or nil if the frame is still incomplete. body is
// valid until the buffer of the partial frame is written to again.
func (d *Decoder) completePartial(p []byte) (body, rest []byte, err error) {
	p = d.fillPartial(lengthSize, p)
	if len(d.partial) < lengthSize {
		return nil, nil, nil
	}
	size, err := frameSize(d.partial)
	if err != nil {
		return nil, nil, err
	}
	rest = d.fillPartial(lengthSize+size, p)
	if len(d.partial) < lengthSize+size {
		return nil, nil, nil
	}
	body = d.partial[lengthSize:]
	d.partial = d.partial[:0]
	return body, rest, nil
}

// fillPartial appends bytes of p to the partial frame until it has n bytes, and returns the rest of p.
func (d *Decoder) fillPartial(n int, p []byte) (rest []byte) {
	missing := min(max(n-len(d.partial), 0), len(p))
	d.partial = append(d.partial, p[:missing]...)
	return p[missing:]
}

// firstFrame splits p after its first frame. body is that frame without its length, and rest is the bytes after it.
// Both are nil if the frame is incomplete.
func firstFrame(p []byte) (body, rest []byte, err error) {
	if len(p) < lengthSize {
		return nil, nil, nil
	}
	size, err := frameSize(p)
	if err != nil {
		return nil, nil, err
	}
	if len(p) < lengthSize+size {
		return nil, nil, nil
	}
	return p[lengthSize : lengthSize+size], p[lengthSize+size:], nil
}

// frameSize reads the length at the start of a frame and checks it.
func frameSize(p []byte) (int, error) {
	size := binary.LittleEndian.Uint32(p)
	if size > MaxFrameSize {
		return 0, &FrameError{Reason: ErrFrameTooLong, Detail: fmt.Sprintf(": %d bytes, at most %d", size, MaxFrameSize)}
	}
	if size < codeSize {
		return 0, &FrameError{Reason: ErrTruncated}
	}
	return int(size), nil
}

func decodeAndHandle(body []byte, handle func(Frame) error) error {
	frame, err := Decode(body)
	if err != nil {
		return err
	}
	return handle(frame)
}
