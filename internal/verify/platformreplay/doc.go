// Package platformreplay records what the core of a placer on the users' platform is given and returns, and steps the same
// core through it again. It is pure: whoever uses it opens the files.
//
// A trace is JSON lines. Each has the members of a line:
//
//	at     microseconds since the Unix epoch, by the placer's clock
//	way    "start", "step", "in" or "out"
//	what   type of the value
//	value  the value, which depends on the type
//
// The first line is a Head. Each step of the core, also one without inputs and outputs, is a line of its own that says how
// many inputs and outputs follow it, and these, in their order. Bytes that crossed a connection stand as text in Data or
// Line; where they are not UTF-8, that is only for the reader, and Bytes has them exactly, in base64.
//
//	format.go               lines, head and step
//	inputs.go, outputs.go   the values of inputs and outputs
//	writer.go, reader.go    a trace written and read
//	replay.go               a trace replayed through the core
//	request.go              the messages of one request
package platformreplay
