package placer

import (
	"bytes"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"mime"
	"net/http"
	"strings"

	"forkhead/internal/parse/compose"
	"forkhead/internal/protocol/http1"
	"forkhead/internal/scheduler/core"
)

// maxIdempotencyKey bounds the length of an Idempotency-Key in bytes.
const maxIdempotencyKey = 200

// EnvelopeMediaType is the media type of an Envelope.
const EnvelopeMediaType = "application/vnd.forkhead.files+json"

// Envelope is the body of a submission of several files, with the values of the variables in them.
type Envelope struct {
	Files     []compose.File    `json:"files"`            // Compose files, merged in this order
	Others    []compose.File    `json:"others,omitempty"` // files that the Compose files refer to
	Variables map[string]string `json:"variables,omitempty"`
	Profiles  []string          `json:"profiles,omitempty"`
	Services  []string          `json:"services,omitempty"` // names of services to include, whatever profiles they have
	Project   string            `json:"project,omitempty"`  // name of the project; "": the files name it
}

// submit reads a submission and passes it to the core. The response streams its outcomes. c.mu is held.
func (c *httpConn) submit(request *http1.Request, _ string) {
	submission, problem := c.server.readSubmission(request)
	if problem != nil {
		c.respondProblem(request, *problem)
		return
	}
	if submission.Description.AllOrNothing && c.startFeasibilityCheck(request, submission) {
		return
	}
	c.submitToCore(request, submission)
}

// startFeasibilityCheck starts a check on another goroutine, which rejects the submission if it is proven that not all
// of its tasks can be placed, and otherwise passes it to the core. It does nothing and returns false if too many checks
// are running. The submission may then go to the core unchecked, as the module finds that it is infeasible after some
// attempts.
func (c *httpConn) startFeasibilityCheck(request *http1.Request, submission core.Submit) bool {
	s, checker := c.server.placer, c.server.feasibility
	if !checker.acquire() {
		return false
	}
	s.spawn(func() {
		defer checker.release()
		conflict := checker.findConflict(s.accepting, submission.Description)
		if conflict == nil {
			c.submitToCore(request, submission)
			return
		}
		p := problemResponse{Problem: infeasibleProblem(conflict)}
		s.loop.Post(func() { c.respondFromLoop(p.encode(request.Close), request.Close) })
	})
	return true
}

// submitToCore passes a submission to the core.
func (c *httpConn) submitToCore(request *http1.Request, submission core.Submit) {
	h := c.server
	h.placer.loop.PostBlocking(func() {
		submission.Request = h.addPending(&pendingRequest{conn: c, closeAfter: request.Close})
		h.placer.addInput(submission)
	})
}

// readSubmission returns the core's input for a request, without the request number, or the problem to respond with.
func (h *httpServer) readSubmission(request *http1.Request) (core.Submit, *problemResponse) {
	if h.stopping() {
		p := Problem{Title: "Stopping", Status: http.StatusServiceUnavailable, Detail: "this placer is being stopped"}
		return core.Submit{}, &problemResponse{Problem: p, retryAfter: rejectedRetryAfter}
	}
	key := request.Get("idempotency-key")
	if len(key) > maxIdempotencyKey {
		detail := fmt.Sprintf("it has %d bytes, at most %d", len(key), maxIdempotencyKey)
		return core.Submit{}, &problemResponse{Problem: Problem{Title: "Bad Idempotency-Key", Status: http.StatusBadRequest, Detail: detail}}
	}
	input, problem := h.readComposeInput(request)
	if problem != nil {
		return core.Submit{}, &problemResponse{Problem: *problem}
	}
	spec, err := compose.Parse(input)
	if err != nil {
		return core.Submit{}, &problemResponse{Problem: InvalidSpecProblem(err)}
	}
	return core.Submit{IdempotencyKey: key, BodyHash: hashSubmission(request), Description: spec}, nil
}

// hashSubmission returns a hash of a submission without its Idempotency-Key.
func hashSubmission(request *http1.Request) uint64 {
	hash := fnv.New64a()
	// Write never fails on a hash.
	_, _ = hash.Write([]byte(request.Get("content-type") + "\n" + request.Query.Encode() + "\n"))
	_, _ = hash.Write(request.Body)
	return hash.Sum64()
}

// readComposeInput returns the files, variables and names of a submission, which it reads according to the media type.
func (h *httpServer) readComposeInput(request *http1.Request) (*compose.Input, *Problem) {
	set := h.placer.settings
	input := &compose.Input{Tenants: set.Tenants, Variables: map[string]string{}}
	for _, class := range set.Classes {
		input.Classes = append(input.Classes, class.Name)
	}
	mediaType := "application/yaml"
	if header := request.Get("content-type"); header != "" {
		var err error
		if mediaType, _, err = mime.ParseMediaType(header); err != nil {
			return nil, &Problem{Title: "Bad Content-Type", Status: http.StatusUnsupportedMediaType, Detail: err.Error()}
		}
	}
	switch mediaType {
	case "application/yaml", "application/x-yaml", "text/yaml", "text/x-yaml", "text/plain", "application/x-www-form-urlencoded":
		// The last media type is the one that curl --data-binary sends by default.
		readComposeFile(request, input)
	case EnvelopeMediaType:
		if err := readEnvelope(request, input); err != nil {
			return nil, &Problem{Title: "Unreadable envelope", Status: http.StatusBadRequest, Detail: err.Error()}
		}
	default:
		return nil, &Problem{
			Title: "Unknown Content-Type", Status: http.StatusUnsupportedMediaType, Detail: "want application/yaml or " + EnvelopeMediaType,
		}
	}
	return input, nil
}

// readComposeFile reads a submission whose body is one Compose file. The file's name, the variables, the profiles, the
// services and the project are in the query.
func readComposeFile(request *http1.Request, input *compose.Input) {
	query := request.Query
	name := query.Get("file")
	if name == "" {
		name = "compose.yaml"
	}
	input.Files = []compose.File{{Name: name, Text: string(request.Body)}}
	input.Profiles, input.Services, input.Project = query["profile"], query["service"], query.Get("project")
	for parameter, values := range query {
		if variable, ok := strings.CutPrefix(parameter, "var."); ok {
			input.Variables[variable] = values[0]
		}
	}
}

// readEnvelope reads a submission whose body is an Envelope.
func readEnvelope(request *http1.Request, input *compose.Input) error {
	var e Envelope
	decoder := json.NewDecoder(bytes.NewReader(request.Body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&e); err != nil {
		return err
	}
	input.Files, input.ReferencedFiles = e.Files, e.Others
	input.Profiles, input.Services, input.Project = e.Profiles, e.Services, e.Project
	if e.Variables != nil {
		input.Variables = e.Variables
	}
	return nil
}
