package platform

import (
	platformcore "forkhead/internal/scheduler/platform"
	"forkhead/internal/server/eventloop"
)

// inputQueue holds the inputs for the core's next step. post and postBlocking are safe for concurrent use; add and take
// must be called on the event loop.
type inputQueue struct {
	loop    *eventloop.Loop
	pending []platformcore.Input // used by the event loop's goroutine only
}

// add appends an input for the next step. It must be called on the event loop.
func (q *inputQueue) add(in platformcore.Input) { q.pending = append(q.pending, in) }

// post appends an input without waiting. The caller bounds the number of such inputs.
func (q *inputQueue) post(in platformcore.Input) { q.loop.Post(func() { q.add(in) }) }

// postBlocking waits until the event loop's queue has space and appends an input. It must not be called on the event
// loop.
func (q *inputQueue) postBlocking(in platformcore.Input) { q.loop.PostBlocking(func() { q.add(in) }) }

// take removes all inputs and returns them, oldest first. It must be called on the event loop.
func (q *inputQueue) take() []platformcore.Input {
	inputs := q.pending
	q.pending = nil
	return inputs
}
