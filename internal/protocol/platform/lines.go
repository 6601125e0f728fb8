package platform

import (
	"bytes"
	"fmt"
)

// ErrLineTooLong means that a stream of messages contained a line of more than MaxLineSize bytes.
var ErrLineTooLong = fmt.Errorf("a line holds more than %d bytes", MaxLineSize)

// LineSplitter cuts a stream into lines. It holds at most MaxLineSize bytes of a line that has not ended.
type LineSplitter struct {
	partial []byte // the line that has not ended
}

// Feed takes bytes as they come and calls line for each complete line, without its line feed and a carriage return
// before it; what line gets is valid until it returns. It stops at the first error of line, which it returns, and at a
// line that is too long, with ErrLineTooLong; the stream cannot be read on after that.
func (s *LineSplitter) Feed(p []byte, line func([]byte) error) error {
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
		if err := line(bytes.TrimSuffix(complete, []byte("\r"))); err != nil {
			return err
		}
	}
}

// HasPartialLine reports whether a line has begun that has not ended.
func (s *LineSplitter) HasPartialLine() bool { return len(s.partial) > 0 }
