// Package hostproto is the protocol between placers and hosts: binary frames over a stream. docs/protocols.md describes it.
// The package turns frames into bytes and back; it holds no connection and starts no goroutine.
//
// A frame on the wire is a u32 length, which counts what follows it, a u8 code and the fields of that code, little-endian
// and unpadded. Texts and payloads have a u16 length before them; a duration is a u32 of milliseconds.
//
//	frames.go  the frames and what they hold
//	encode.go  frames to bytes
//	decode.go  the bytes of one frame to its fields
//	stream.go  a stream of bytes to frames
//	errors.go  what can be wrong with a stream
//
// Recorded runs hold frames by the names of their Go types and fields (package verify/replay). These names stay as they
// are, also where the glossary has another term.
package hostproto

// Version is the version of the protocol. Both ends send theirs; a host closes the connection of a placer with another.
const Version = 1

// Bounds of frames, in bytes unless noted otherwise.
const (
	MaxFrameSize   = 64 << 10 // code and fields, without the length before them
	MaxTextSize    = 1 << 10  // a name or a message
	MaxPayloadSize = 48 << 10 // the payload of a task
	MaxQueryRefs   = 1000     // attempts in one Query
	MaxHoldsSize   = 64 << 10 // one Holds
)

// Sizes on the wire, in bytes.
const (
	lengthSize  = 4         // the length of a frame
	codeSize    = 1         // the code of a frame
	refSize     = 8 + 4 + 1 // a Ref
	minHeldSize = 60        // no Held takes less
	maxHeldBase = 80        // no Held takes more without its texts
)

// maxEffect is the highest forkhead.Effect.
const maxEffect = 2
