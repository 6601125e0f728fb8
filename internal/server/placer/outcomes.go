package placer

import (
	"encoding/json"
	"net/http"

	"forkhead/internal/protocol/http1"
)

// outcomeStream is a response that streams the outcomes of a submission, one JSON object per line. It belongs to the
// loop.
type outcomeStream struct {
	conn       *httpConn
	submission string // ID of the submission
	written    int    // number of outcomes written
	closeAfter bool   // whether to close the connection after the last outcome
	buffer     []byte // holds the lines of one write; reused by the next write
}

// getOutcomes streams the outcomes of a submission that the placer accepted from an earlier request. c.mu is held.
func (c *httpConn) getOutcomes(request *http1.Request, submission string) {
	h := c.server
	h.placer.loop.PostBlocking(func() {
		if _, _, known := h.placer.core.Outcomes(submission, 0); !known {
			p := Problem{Title: "No such submission", Status: http.StatusNotFound, Detail: "it never was, or was complete long ago"}
			c.respondFromLoop(problemResponse{Problem: p}.encode(request.Close), request.Close)
			return
		}
		h.streamOutcomes(c, submission, request.Close)
	})
}

// streamOutcomes starts a response that streams the outcomes of a submission until it is complete. It runs on the loop.
func (h *httpServer) streamOutcomes(c *httpConn, submission string, closeAfter bool) {
	if c.closed {
		return
	}
	stream := &outcomeStream{conn: c, submission: submission, closeAfter: closeAfter}
	c.stream = stream
	if h.streams[submission] == nil {
		h.streams[submission] = map[*outcomeStream]bool{}
	}
	h.streams[submission][stream] = true
	header := []http1.Field{
		{Name: "content-type", Value: "application/x-ndjson"},
		{Name: "location", Value: "/v1/submissions/" + submission},
		{Name: "cache-control", Value: "no-store"},
	}
	const chunked = -1
	_ = c.conn.Write(http1.AppendHead(nil, http.StatusOK, header, chunked, closeAfter))
	h.writeOutcomes(stream)
}

// outcomesAdded continues the streams of a submission that has more outcomes or is complete. It runs on the loop.
func (h *httpServer) outcomesAdded(submission string) {
	for stream := range h.streams[submission] {
		h.writeOutcomes(stream)
	}
}

// writeOutcomes writes outcomes until Limits.BufferBytes bytes of the connection are unsent. If the client does not
// read, the other outcomes stay in the core until Drained is called. It runs on the loop.
func (h *httpServer) writeOutcomes(stream *outcomeStream) {
	s, conn := h.placer, stream.conn.conn
	outcomes, complete, known := s.core.Outcomes(stream.submission, stream.written)
	space := s.settings.Limits.BufferBytes - conn.PendingBytes()
	lines := stream.buffer[:0]
	written := 0
	for written < len(outcomes) && len(lines) < space {
		line, _ := json.Marshal(&outcomes[written]) // Marshal never fails, since the fields are strings and integers
		lines = append(append(lines, line...), '\n')
		written++
	}
	stream.written += written
	stream.buffer = lines
	response := http1.AppendChunk(nil, lines)
	finished := !known || complete && written == len(outcomes)
	if finished {
		response = append(response, http1.LastChunk...)
	}
	if len(response) > 0 {
		_ = conn.Write(response)
	}
	if finished {
		h.endStream(stream)
		stream.conn.resume(stream.closeAfter)
	}
}

// endStream removes a stream that is finished or whose connection is closed. It runs on the loop.
func (h *httpServer) endStream(stream *outcomeStream) {
	stream.conn.stream = nil
	streams := h.streams[stream.submission]
	delete(streams, stream)
	if len(streams) == 0 {
		delete(h.streams, stream.submission)
	}
}
