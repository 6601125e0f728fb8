package platform

import (
	platformcore "forkhead/internal/scheduler/platform"
	"forkhead/internal/server/eventloop"
)

// inputQueue holds what has happened since the core's last step. Any goroutine may post; the inputs belong to the event
// loop's.
type inputQueue struct {
	loop    *eventloop.Loop
	pending []platformcore.Input
}

// add appends an input for the next step. It is for jobs on the event loop.
func (q *inputQueue) add(in platformcore.Input) { q.pending = append(q.pending, in) }

// post appends an input without waiting. The caller bounds how often that comes.
func (q *inputQueue) post(in platformcore.Input) { q.loop.Post(func() { q.add(in) }) }

// postBlocking appends an input once the event loop has space for another job. It must not be called on the event loop.
func (q *inputQueue) postBlocking(in platformcore.Input) { q.loop.PostBlocking(func() { q.add(in) }) }

// take returns the inputs in the order of their coming, and empties the queue.
func (q *inputQueue) take() []platformcore.Input {
	inputs := q.pending
	q.pending = nil
	return inputs
}
