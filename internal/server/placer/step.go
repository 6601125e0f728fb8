package placer

import (
	"time"

	"forkhead/internal/scheduler/core"
)

// addInput adds an input to the core's next step. It runs on the loop.
func (s *Server) addInput(in core.Input) { s.inputs = append(s.inputs, in) }

// step is the eventloop.Step of the loop: it passes the collected inputs to the core and executes the outputs.
func (s *Server) step(now time.Duration) (time.Duration, bool) {
	inputs := s.inputs
	s.inputs = s.inputs[:0]
	outputs := s.core.Step(now, inputs...)
	if s.onStep != nil {
		s.onStep(now, s.stepDue, inputs, outputs)
	}
	if !s.persist(now, outputs) {
		return 0, false
	}
	for _, o := range outputs {
		s.execute(o)
	}
	clear(inputs)
	s.flushHostConns()
	return s.nextStep()
}

// nextStep returns the time of the next step if no input arrives before: the time of a timer of the core or of a flush
// of the store. ok is false if there is neither.
func (s *Server) nextStep() (time.Duration, bool) {
	next, ok := s.core.Next()
	s.stepDue = 0
	if ok {
		s.stepDue = next
	}
	if flushBy := s.persister.flushBy; flushBy > 0 && (!ok || flushBy < next) {
		return flushBy, true
	}
	return next, ok
}

// execute carries out one output of the core.
func (s *Server) execute(o core.Output) {
	switch o := o.(type) {
	case core.DialHost:
		s.dialHost(o)
	case core.CloseHostConnection:
		s.closeHostConn(o)
	case core.SendToHost:
		s.sendToHost(o)
	case core.Subscribe:
		s.watchMachineList()
	case core.SendGossip:
		s.gossip.send(o.To, o.Data)
	case core.Accepted:
		s.http.requestAccepted(o)
	case core.Rejected:
		s.http.requestRejected(o)
	case core.OutcomesAdded:
		s.http.outcomesAdded(o.Submission)
	case core.Persist: // Server.persist commits the record before any output is executed
	case core.Log:
		s.logOutput(o)
	}
}

// logOutput logs a message of the core, with its text unchanged.
func (s *Server) logOutput(o core.Log) {
	level := s.log.Info()
	if o.Defect {
		level = s.log.Error()
	}
	level.Msg(o.Text)
}
