package replay

import (
	"time"

	"forkhead"
	"forkhead/internal/protocol/capture"
	"forkhead/internal/scheduler/core"
)

// lateTolerance is the delay of a step up to which CaptureEvents reports no LateStep event.
const lateTolerance = time.Millisecond

// CaptureEvents returns the traffic on a placer's sockets that the inputs and outputs of a step of its core show, in
// the order in which the event loop read the inputs and wrote the outputs. The parameters now and due are the fields of
// Step. The event base has the fields that all events have in common: the placer and its epoch.
func CaptureEvents(base capture.Event, now, due time.Duration, in []core.Input, out []core.Output) []capture.Event {
	base.At = now
	var events []capture.Event
	if due > 0 && now > due+lateTolerance {
		e := base
		e.Type, e.Within = capture.LateStep, now-due
		events = append(events, e)
	}
	for _, in := range in {
		events = append(events, captureInput(base, in)...)
	}
	for _, out := range out {
		events = append(events, captureOutput(base, out)...)
	}
	return events
}

// captureInput returns the events of an input that came from a socket. The event e has the fields that all events have
// in common.
func captureInput(e capture.Event, in core.Input) []capture.Event {
	switch in := in.(type) {
	case core.FrameReceived:
		e.Host, e.Conn = in.Host, uint64(in.Conn)
		return capture.FrameEvents(e, in.Frame)
	case core.HostDisconnected:
		e.Type, e.Host, e.Conn = capture.Disconnected, in.Host, uint64(in.Conn)
		return []capture.Event{e}
	case core.HostListReceived:
		if in.Mode == forkhead.ListFailed {
			return nil
		}
		e.Type = capture.ListDelivered
		for i := range in.Hosts {
			if h := &in.Hosts[i]; h.State == forkhead.Ready {
				e.Ready = append(e.Ready, h.Name)
			} else {
				e.Draining = append(e.Draining, h.Name)
			}
		}
		return []capture.Event{e}
	}
	return nil
}

// captureOutput returns the events of an output that goes to a socket. The event e has the fields that all events have
// in common.
func captureOutput(e capture.Event, out core.Output) []capture.Event {
	switch out := out.(type) {
	case core.SendToHost:
		e.Host, e.Conn = out.Host, uint64(out.Conn)
		return capture.FrameEvents(e, out.Frame)
	case core.CloseHostConnection:
		e.Type, e.Host, e.Conn = capture.Disconnected, out.Host, uint64(out.Conn)
		return []capture.Event{e}
	case core.Accepted:
		e.Type, e.Submission = capture.Submit, out.Submission
		return []capture.Event{e}
	}
	return nil
}

// HostLocations returns a HostUp event for each host of the endpoint lists among the inputs. The event has the host's
// zone and rack, as a HostUp event in captured traffic does.
func HostLocations(in []core.Input) []capture.Event {
	var events []capture.Event
	for _, in := range in {
		if list, ok := in.(core.HostListReceived); ok {
			for i := range list.Hosts {
				h := &list.Hosts[i]
				events = append(events, capture.Event{Type: capture.HostUp, Host: h.Name, Zone: h.Zone, Rack: h.Rack})
			}
		}
	}
	return events
}
