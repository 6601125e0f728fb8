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
// not change, even where the glossary has another term.
package hostproto

// Version is the version of the protocol. Both ends send theirs; a host closes the connection of a placer whose version
// differs.
const Version = 1

// Limits of frames, in bytes unless noted otherwise.
const (
	MaxFrameSize   = 64 << 10 // a frame: code and fields, without its length
	MaxTextSize    = 1 << 10  // a name or a message
	MaxPayloadSize = 48 << 10 // the payload of a task
	MaxQueryRefs   = 1000     // number of attempts in one Query
	MaxHoldsSize   = 64 << 10 // one Holds
)

// Sizes on the wire, in bytes.
const (
	lengthSize  = 4         // the length of a frame
	codeSize    = 1         // the code of a frame
	refSize     = 8 + 4 + 1 // a Ref
	minHeldSize = 60        // lower bound of a Held
	maxHeldBase = 80        // upper bound of a Held without its texts
)

// maxEffect is the largest value of forkhead.Effect.
const maxEffect = 2
