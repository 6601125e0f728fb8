package placer

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"forkhead/internal/parse/diagnostic"
	"forkhead/internal/protocol/http1"
)

// Types of problems. Problems that a client may need to distinguish have a type of their own; all others have
// defaultType and are distinguished by their status.
const (
	invalidSpecType = "urn:forkhead:bad-description"
	infeasibleType  = "urn:forkhead:impossible"
	defaultType     = "about:blank"
)

// Problem is the body of an error response, according to RFC 9457.
type Problem struct {
	Type   string      `json:"type"` // "" stands for about:blank
	Title  string      `json:"title"`
	Status int         `json:"status"`
	Detail string      `json:"detail,omitempty"`
	Errors []SpecError `json:"errors,omitempty"`

	Conflict []string `json:"conflict,omitempty"` // requirements that cannot be met together
}

// SpecError is an error in a service specification, with its position.
type SpecError struct {
	File   string `json:"file"`
	Line   int    `json:"line,omitempty"`   // counted from 1; 0: the error concerns the whole file
	Column int    `json:"column,omitempty"` // counted from 1
	Detail string `json:"detail"`
	Want   string `json:"want,omitempty"` // values that are valid at this position
}

// InvalidSpecProblem returns the Problem for an error of the specification's parser, which may join several errors.
func InvalidSpecProblem(err error) Problem {
	return Problem{
		Type: invalidSpecType, Title: "The description cannot be used", Status: http.StatusUnprocessableEntity, Detail: err.Error(),
		Errors: appendSpecErrors(nil, err),
	}
}

// appendSpecErrors appends the errors joined in err that have a position.
func appendSpecErrors(list []SpecError, err error) []SpecError {
	if joined, ok := err.(interface{ Unwrap() []error }); ok {
		for _, e := range joined.Unwrap() {
			list = appendSpecErrors(list, e)
		}
		return list
	}
	if e := diagnostic.First(err); e != nil {
		list = append(list, SpecError{File: e.Pos.File, Line: e.Pos.Line, Column: e.Pos.Col, Detail: e.Message, Want: e.Want})
	}
	return list
}

// infeasibleProblem returns the Problem for a specification that cannot be placed completely.
func infeasibleProblem(conflict []string) Problem {
	return Problem{
		Type: infeasibleType, Title: "No placement exists", Status: http.StatusUnprocessableEntity,
		Detail:   "these cannot be met together, and could without any one of them: " + strings.Join(conflict, "; "),
		Conflict: conflict,
	}
}

// problemResponse is a response with a Problem.
type problemResponse struct {
	Problem
	header     []http1.Field // header fields in addition to those of every problem response
	retryAfter time.Duration // the Retry-After, which is rounded up to full seconds; 0: none
}

// encode returns the bytes of the response. closeAfter announces that the connection is closed after it.
func (p problemResponse) encode(closeAfter bool) []byte {
	if p.Type == "" {
		p.Type = defaultType
	}
	header := append(p.header, http1.Field{Name: "content-type", Value: "application/problem+json"})
	if p.retryAfter > 0 {
		seconds := int64((p.retryAfter + time.Second - 1) / time.Second)
		header = append(header, http1.Field{Name: "retry-after", Value: strconv.FormatInt(seconds, 10)})
	}
	return jsonResponse(p.Status, header, p.Problem, closeAfter)
}

// jsonResponse returns the bytes of a response with value as one line of JSON. The value must be encodable.
func jsonResponse(status int, header []http1.Field, value any, closeAfter bool) []byte {
	body, _ := json.Marshal(value)
	body = append(body, '\n')
	return append(http1.AppendHead(nil, status, header, len(body), closeAfter), body...)
}
