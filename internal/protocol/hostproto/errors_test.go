package hostproto

import (
	"errors"
	"testing"
)

// malformed returns an Offer frame that is truncated to size bytes and in which the bytes at some offsets are replaced.
func malformed(size int, replaced map[int]byte) []byte {
	stream := Append(nil, Offer{Ref: Ref{1, 2, 3}, Spec: Spec{Name: "a/b/1"}})[:size]
	stream[0] = byte(size - lengthSize)
	for offset, value := range replaced {
		stream[offset] = value
	}
	return stream
}

// A malformed frame is an error with the offset of the malformed field. The text of the error is sent to the peer in
// Bye, so the test compares it in full.
func TestFrameErrorTextAndOffset(t *testing.T) {
	const (
		keyOffset    = lengthSize + codeSize + refSize + 4 // in an Offer, the key follows the ref and the duration Wait
		effectOffset = keyOffset + 3*8 + len("..a/b/1") + len("..") + len("..")
	)
	for name, c := range map[string]struct {
		stream []byte
		reason error
		offset int
		text   string
	}{
		"too long":       {[]byte{1, 0, 1, 0}, ErrFrameTooLong, 0, "a frame is longer than allowed: 65537 bytes, at most 65536"},
		"without a code": {[]byte{0, 0, 0, 0}, ErrTruncated, 0, "a frame ends before its fields do"},
		"unknown code":   {[]byte{1, 0, 0, 0, 99}, ErrUnknownCode, 4, "a frame has an unknown code: 99"},
		"truncated":      {malformed(keyOffset+7, nil), ErrTruncated, keyOffset, "a frame ends before its fields do (code 2)"},
		"trailing byte":  {[]byte{6, 0, 0, 0, 5, 1, 1, 1, 1, 9}, ErrTrailingBytes, 9, "a frame goes on behind its fields (code 5)"},
		"invalid bool":   {[]byte{2, 0, 0, 0, 40, 7}, ErrInvalidValue, 5, "a field has a value that is not allowed (code 40)"},
		"invalid effect": {
			malformed(effectOffset+1, map[int]byte{effectOffset: 3}),
			ErrInvalidValue, effectOffset, "a field has a value that is not allowed (code 2)",
		},
		"text too long":     {[]byte{3, 0, 0, 0, 41, 1, 4}, ErrInvalidValue, 5, "a field has a value that is not allowed (code 41)"},
		"too many refs":     {[]byte{3, 0, 0, 0, 6, 0xff, 0xff}, ErrInvalidValue, 5, "a field has a value that is not allowed: a query of 65535"},
		"too many attempts": {[]byte{4, 0, 0, 0, 33, 1, 0, 9}, ErrInvalidValue, 5, "a field has a value that is not allowed: 1 held in 1 bytes"},
	} {
		t.Run(name, func(t *testing.T) {
			var d Decoder
			err := d.Feed(c.stream, func(f Frame) error { t.Errorf("Feed(%x): got frame %+v, want none", c.stream, f); return nil })
			var got *FrameError
			if !errors.As(err, &got) || !errors.Is(err, c.reason) {
				t.Fatalf("Feed(%x): got error %v, want a FrameError with reason %q", c.stream, err, c.reason)
			}
			if got.Offset != c.offset || err.Error() != c.text {
				t.Errorf("Feed(%x): got error %q at offset %d, want %q at offset %d", c.stream, err, got.Offset, c.text, c.offset)
			}
		})
	}
}
