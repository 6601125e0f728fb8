// Package hostproto implements the protocol between placers and hosts: binary frames over a stream, described in
// docs/protocols.md. The package converts frames to bytes and back; it has no connections and starts no goroutine.
//
// A frame on the wire consists of a u32 length of the bytes that follow, a u8 code and the fields of that code, all
// little-endian and unpadded. Texts and payloads are preceded by a u16 length; a duration is a u32 of milliseconds.
//
//	frames.go  types of the frames and of their fields
//	encode.go  encodes frames
//	decode.go  decodes the bytes of one frame
//	stream.go  splits a stream of bytes into frames
//	errors.go  errors of malformed streams
//
// Recorded runs contain frames under the names of their Go types and fields (package verify/replay). These names must
// not change, even where the rest of the program uses another term.
package hostproto

// Version is the version of the protocol. Placers and hosts send the version that they use; a host closes the
// connection of a placer whose version differs.
const Version = 1

// Limits of frames, in bytes unless noted otherwise.
const (
	MaxFrameSize   = 64 << 10 // size of a frame: code and fields, without the length before them
	MaxTextSize    = 1 << 10  // size of a name or of the text of a Bye
	MaxPayloadSize = 48 << 10 // size of a task's payload
	MaxQueryRefs   = 1000     // number of attempts in one Query
	MaxHoldsSize   = 64 << 10 // size of one Holds
)

// Sizes on the wire, in bytes.
const (
	lengthSize  = 4         // size of the length before a frame
	codeSize    = 1         // size of a frame's code
	refSize     = 8 + 4 + 1 // size of a Ref
	minHeldSize = 60        // lower bound of the size of a Held
	maxHeldBase = 80        // upper bound of the size of a Held without its texts
)

// maxEffect is the largest value of forkhead.Effect.
const maxEffect = 2
