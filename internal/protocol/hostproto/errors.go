package hostproto

import "errors"

// What can be wrong with a stream; the reasons of a FrameError.
var (
	ErrFrameTooLong  = errors.New("a frame is longer than allowed")
	ErrTruncated     = errors.New("a frame ends before its fields do")
	ErrTrailingBytes = errors.New("a frame goes on behind its fields")
	ErrUnknownCode   = errors.New("a frame has an unknown code")
	ErrInvalidValue  = errors.New("a field has a value that is not allowed")
)

// FrameError is what is wrong with a frame. What follows it in the stream cannot be decoded. A host sends its
// text to the placer, in Bye.
type FrameError struct {
	Reason error  // one of the variables above
	Offset int    // where the field begins that cannot be read, in bytes from the frame's length
	Detail string // follows the text of Reason; may be empty
}

// Error returns the text of the reason with its detail.
func (e *FrameError) Error() string { return e.Reason.Error() + e.Detail }

// Unwrap returns the reason.
func (e *FrameError) Unwrap() error { return e.Reason }
