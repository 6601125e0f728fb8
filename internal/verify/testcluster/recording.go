package testcluster

import (
	"time"

	"forkhead/internal/protocol/capture"
	"forkhead/internal/scheduler/core"
	"forkhead/internal/verify/replay"
)

// maxRecordingBytes bounds the compressed recording of one incarnation of a placer.
const maxRecordingBytes = 64 << 20

// Recording is the recording of one incarnation of a placer.
type Recording struct {
	Placer, Incarnation int // Incarnation is counted from 1
	*replay.Writer
}

// Recordings returns the recordings of all placers. The placers must have stopped.
func (c *Cluster) Recordings() []Recording { return c.recordings }

// observeSteps returns the function that a placer's next incarnation calls after each step of its core. The function
// captures the traffic on the placer's sockets, and records the steps if Options.RecordSteps is set.
func (c *Cluster) observeSteps(
	placer int, seed, epoch uint64,
) func(now, due time.Duration, in []core.Input, out []core.Output) {
	base := capture.Event{AtPlacer: true, Placer: placer, PlacerEpoch: epoch}
	var recording *replay.Writer
	if c.opt.RecordSteps {
		recording = c.newRecording(placer, seed, epoch)
	}
	return func(now, due time.Duration, in []core.Input, out []core.Output) {
		for _, e := range replay.CaptureEvents(base, now, due, in, out) {
			c.opt.Recorder.Add(e)
		}
		if recording != nil {
			// The error can be ignored here: Writer.Bytes returns it again when the recording ends.
			_ = recording.Add(&replay.Step{Now: now, Due: due, In: in, Out: replay.FormatOutputs(out)})
		}
	}
}

// newRecording begins a recording. The caller holds startStop.
func (c *Cluster) newRecording(placer int, seed, epoch uint64) *replay.Writer {
	s := c.Scenario
	w := replay.NewWriter(replay.Head{
		Durable: s.Durable, File: s.File, Script: s.Text, Placer: placer, Seed: seed, Epoch: epoch,
	}, maxRecordingBytes)
	c.recordings = append(c.recordings, Recording{Placer: placer, Incarnation: c.placers[placer].incarnations, Writer: w})
	return w
}
