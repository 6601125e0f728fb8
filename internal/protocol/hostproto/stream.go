package hostproto

import (
	"encoding/binary"
	"fmt"
)

// Decoder cuts a stream into frames. The zero value is ready. It keeps at most one incomplete frame, in a buffer of its
// own. It is for one goroutine at a time.
type Decoder struct {
	partial []byte // the beginning of a frame whose end has not come
	err     error
}

// Feed takes the next bytes of the stream and calls handle for each frame that is complete with them. It returns the
// first error, a *FrameError or what handle returned, and the same one from then on. It does not keep p.
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
		body, following, err := d.completePartial(p)
		if err != nil || body == nil {
			return err
		}
		if err := decodeAndHandle(body, handle); err != nil {
			return err
		}
		p = following
	}
	for {
		body, following, err := firstFrame(p)
		if err != nil {
			return err
		}
		if body == nil {
			break
		}
		if err := decodeAndHandle(body, handle); err != nil {
			return err
		}
		p = following
	}
	d.partial = append(d.partial[:0], p...)
	return nil
}

// completePartial adds bytes to the partial frame, as many as complete it, and returns the frame without its length and
// the bytes that follow it, or nil if the frame is still not complete. The frame is valid until the partial frame is
// written to again.
func (d *Decoder) completePartial(p []byte) (body, following []byte, err error) {
	p = d.fillPartial(lengthSize, p)
	if len(d.partial) < lengthSize {
		return nil, nil, nil
	}
	size, err := frameSize(d.partial)
	if err != nil {
		return nil, nil, err
	}
	following = d.fillPartial(lengthSize+size, p)
	if len(d.partial) < lengthSize+size {
		return nil, nil, nil
	}
	body = d.partial[lengthSize:]
	d.partial = d.partial[:0]
	return body, following, nil
}

// fillPartial copies bytes to the partial frame until it has n, and returns the others.
func (d *Decoder) fillPartial(n int, p []byte) (following []byte) {
	missing := min(max(n-len(d.partial), 0), len(p))
	d.partial = append(d.partial, p[:missing]...)
	return p[missing:]
}

// firstFrame returns the first frame of p, without its length, and what follows it, or nil if p does not hold all of it.
func firstFrame(p []byte) (body, following []byte, err error) {
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

// frameSize reads the length of a frame.
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
