// Package platformreplay records the inputs and outputs of the core of a platform placer as a trace, and replays a trace
// through a core of this build. It opens no files: callers pass a reader or a writer.
//
// A trace is in JSON Lines format. Each line is an object with these members:
//
//	at     microseconds since the Unix epoch, by the placer's clock
//	way    "start", "step", "in" or "out"
//	what   type of the value
//	value  value of that type
//
// The first line holds a Head. Each step of the core begins with a line that has the number of its inputs and outputs,
// which follow it in order; a step without inputs and outputs is recorded too. Bytes that crossed a connection are text
// in Data or Line. Where they are not valid UTF-8, that text is only for people to read, and Bytes holds the exact
// bytes in base64.
//
//	format.go               the line format, the head and the step line
//	inputs.go, outputs.go   the values of inputs and outputs
//	writer.go, reader.go    writing and reading a trace
//	replay.go               replaying a trace through the core
//	request.go              listing the messages of one request
package platformreplay
