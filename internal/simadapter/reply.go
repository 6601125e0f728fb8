package simadapter

import (
	"encoding/binary"
	"io"
	"math"
)

// Codes of actions on the wire.
const (
	codeOffer     = 1
	codeReject    = 2
	codeFail      = 3
	codeWithdraw  = 4
	codeSetTimer  = 5
	codeProbe     = 6
	codeGossip    = 8
	codeLog       = 9
	codeCrash     = 10
	codeSubscribe = 11
	codeStop      = 13
)

// AllPlacers is the receiver of a gossip message that goes to all other placers.
const AllPlacers = math.MaxUint32

// maxText is the maximum length of a log line or gossip message, in bytes. Longer lines and messages are truncated.
const maxText = math.MaxUint16

// Sizes of fields, in bytes.
const (
	idSize     = 4 // number of a placer, task or machine
	numberSize = 8 // uint64 or float64
	lengthSize = 2 // length of a text
)

// frameLengthSize is the size of a frame's length field, in bytes. The length does not include the field itself.
const frameLengthSize = 4

// Reply collects the actions that answer one batch. Its zero value is an empty reply. It is not safe for concurrent use.
type Reply struct{ frame []byte }

// Reset empties the reply.
func (r *Reply) Reset() { r.frame = append(r.frame[:0], make([]byte, frameLengthSize)...) }

// WriteTo writes the reply as one frame.
func (r *Reply) WriteTo(w io.Writer) (int64, error) {
	if len(r.frame) == 0 {
		r.Reset()
	}
	binary.LittleEndian.PutUint32(r.frame, uint32(len(r.frame)-frameLengthSize))
	n, err := w.Write(r.frame)
	return int64(n), err
}

// begin writes the header of an action and its first field, the placer. size is the total size of the other fields.
func (r *Reply) begin(code uint8, placer uint32, size int) {
	r.frame = append(r.frame, code)
	r.uint32(uint32(idSize + size))
	r.uint32(placer)
}

func (r *Reply) uint8(v uint8)     { r.frame = append(r.frame, v) }
func (r *Reply) uint32(v uint32)   { r.frame = binary.LittleEndian.AppendUint32(r.frame, v) }
func (r *Reply) uint64(v uint64)   { r.frame = binary.LittleEndian.AppendUint64(r.frame, v) }
func (r *Reply) float64(v float64) { r.uint64(math.Float64bits(v)) }

// text writes the length of a text, then the text. The text must not be longer than maxText.
func (r *Reply) text(text []byte) {
	r.frame = binary.LittleEndian.AppendUint16(r.frame, uint16(len(text)))
	r.frame = append(r.frame, text...)
}

func truncate(text []byte) []byte { return text[:min(len(text), maxText)] }

// Offer offers a task to a machine, with a timeout in milliseconds.
func (r *Reply) Offer(placer, task, machine uint32, timeout float64) {
	r.begin(codeOffer, placer, 2*idSize+numberSize)
	r.uint32(task)
	r.uint32(machine)
	r.float64(timeout)
}

// Reject ends a placement request without a placement. The owner of the task may safely request the placement again after
// retryAfter milliseconds.
func (r *Reply) Reject(placer, task uint32, retryAfter float64) {
	r.begin(codeReject, placer, idSize+numberSize)
	r.uint32(task)
	r.float64(retryAfter)
}

// Fail ends a placement request without a placement. Unlike Reject, it does not promise that another request is safe.
func (r *Reply) Fail(placer, task uint32) {
	r.begin(codeFail, placer, idSize)
	r.uint32(task)
}

// Withdraw withdraws an attempt: the placer no longer waits for its outcome. The machine may still accept the task.
func (r *Reply) Withdraw(placer, task uint32, attempt uint8) {
	r.begin(codeWithdraw, placer, idSize+1)
	r.uint32(task)
	r.uint8(attempt)
}

// Stop stops a placed task.
func (r *Reply) Stop(placer, task uint32) {
	r.begin(codeStop, placer, idSize)
	r.uint32(task)
}

// SetTimer requests a TimerFired event at a time in milliseconds.
func (r *Reply) SetTimer(placer uint32, timer uint64, at float64) {
	r.begin(codeSetTimer, placer, 2*numberSize)
	r.uint64(timer)
	r.float64(at)
}

// Probe probes a machine.
func (r *Reply) Probe(placer, machine uint32) {
	r.begin(codeProbe, placer, idSize)
	r.uint32(machine)
}

// Gossip sends a message to one placer or to AllPlacers. Data beyond maxText bytes is dropped.
func (r *Reply) Gossip(placer, receiver uint32, data []byte) {
	data = truncate(data)
	r.begin(codeGossip, placer, idSize+lengthSize+len(data))
	r.uint32(receiver)
	r.text(data)
}

// Subscribe subscribes a placer to the changes of the endpoint list.
func (r *Reply) Subscribe(placer uint32) {
	r.begin(codeSubscribe, placer, 1)
	r.uint8(1)
}

// Unsubscribe ends a placer's subscription to the changes of the endpoint list.
func (r *Reply) Unsubscribe(placer uint32) {
	r.begin(codeSubscribe, placer, 1)
	r.uint8(0)
}

// Log adds a line to the simulator's report.
func (r *Reply) Log(placer uint32, line string) { r.line(codeLog, placer, line) }

// Crash reports that the placer's code has failed.
func (r *Reply) Crash(placer uint32, line string) { r.line(codeCrash, placer, line) }

func (r *Reply) line(code uint8, placer uint32, line string) {
	text := truncate([]byte(line))
	r.begin(code, placer, lengthSize+len(text))
	r.text(text)
}
