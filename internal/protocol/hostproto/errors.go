package hostproto

import "errors"

// Reasons of a FrameError. Their texts are sent in Bye.
var (
	ErrFrameTooLong  = errors.New("a frame is longer than allowed")
	ErrTruncated     = errors.New("a frame ends before its fields do")
	ErrTrailingBytes = errors.New("a frame goes on behind its fields")
	ErrUnknownCode   = errors.New("a frame has an unknown code")
	ErrInvalidValue  = errors.New("a field has a value that is not allowed")
)

// FrameError describes a malformed frame. The rest of the stream after it cannot be decoded. The end that receives the
// frame sends the text of the error to its peer, in Bye.
type FrameError struct {
	Reason error  // one of the errors above, such as ErrTruncated
	Offset int    // start of the malformed field, in bytes from the start of the frame's length
	Detail string // appended to the text of Reason; may be empty
}

// Error returns the text of the reason, followed by the detail.
func (e *FrameError) Error() string { return e.Reason.Error() + e.Detail }

// Unwrap returns the reason.
func (e *FrameError) Unwrap() error { return e.Reason }
