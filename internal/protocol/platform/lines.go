package platform

import (
	"bytes"
	"fmt"
)

// ErrLineTooLong is the error of a stream of messages with a line of more than MaxLineSize bytes.
var ErrLineTooLong = fmt.Errorf("a line holds more than %d bytes", MaxLineSize)

// LineSplitter splits a stream into lines. It buffers at most MaxLineSize bytes of an incomplete line.
type LineSplitter struct {
	partial []byte // the incomplete line
}

// Feed splits the next bytes of the stream and calls handle for each complete line, without its line feed and a
// carriage return before it; the slice is valid until handle returns. Feed stops at the first error of handle, which it
// returns, and at a line that is too long, with ErrLineTooLong; the rest of the stream cannot be read after that.
func (s *LineSplitter) Feed(p []byte, handle func(line []byte) error) error {
	for {
		end := bytes.IndexByte(p, '\n')
		size := end
		if end < 0 {
			size = len(p)
		}
		if len(s.partial)+size > MaxLineSize {
			s.partial = nil
			return ErrLineTooLong
		}
		if end < 0 {
			s.partial = append(s.partial, p...)
			return nil
		}
		complete := p[:end]
		if len(s.partial) > 0 {
			complete = append(s.partial, complete...)
			s.partial = nil
		}
		p = p[end+1:]
		if err := handle(bytes.TrimSuffix(complete, []byte("\r"))); err != nil {
			return err
		}
	}
}

// HasPartialLine reports whether the splitter has buffered an incomplete line.
func (s *LineSplitter) HasPartialLine() bool { return len(s.partial) > 0 }
