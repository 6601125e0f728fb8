package platformreplay

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"forkhead/internal/protocol/platform"
	platformcore "forkhead/internal/scheduler/platform"
)

// BenchmarkRequest measures a request's path through a core with the real module, with and without a trace to a file:
// from the owner to a host, the host's answer and the end of the task back to the owner, and the owner's
// acknowledgment.
func BenchmarkRequest(b *testing.B) {
	for _, traced := range []bool{false, true} {
		b.Run(fmt.Sprintf("traced=%v", traced), func(b *testing.B) { benchmarkRequest(b, traced) })
	}
}

func benchmarkRequest(b *testing.B, traced bool) {
	head := testHead(b)
	config, err := coreConfig(&head)
	if err != nil {
		b.Fatal(err)
	}
	core, err := platformcore.New(config)
	if err != nil {
		b.Fatal(err)
	}
	file, err := os.Create(filepath.Join(b.TempDir(), "trace.jsonl"))
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	w := NewWriter(file, head.Config)
	now, placed := testStart, 0
	step := func(in ...platformcore.Input) {
		for len(in) > 0 {
			now += time.Millisecond
			out := core.Step(now, in...)
			if traced {
				w.Step(now, in, out)
			}
			in = replies(out)
			placed += len(in)
		}
	}
	step(platformcore.OwnerConnected{Owner: 1})
	step(platformcore.OwnerData{Owner: 1, Data: testRequest(testRef, "")})
	for n := 0; b.Loop(); n++ {
		ref := fmt.Sprintf("%016x", n)
		step(platformcore.OwnerData{Owner: 1, Data: testRequest(ref, "")})
		step(platformcore.HostData{Connection: 1, Data: fmt.Appendf(nil, `{"t":"down","ref":"%s","f":{},"c":31}`+"\n", ref)})
		step(platformcore.OwnerData{Owner: 1, Data: fmt.Appendf(nil, `{"t":"ack","ref":"%s","f":{}}`+"\n", ref)})
	}
	if placed < b.N {
		b.Errorf("%d requests placed, want at least %d", placed, b.N)
	}
	if info, err := file.Stat(); traced && err == nil {
		b.ReportMetric(float64(info.Size())/float64(b.N), "trace-B/op")
	}
	if w.Err() != nil {
		b.Fatal(w.Err())
	}
}

// replies returns the inputs with which a network and a host without faults respond to outputs.
func replies(outputs []platformcore.Output) []platformcore.Input {
	var in []platformcore.Input
	for _, output := range outputs {
		switch out := output.(type) {
		case platformcore.DialHost:
			in = append(in, platformcore.HostConnected{Connection: out.Connection})
		case platformcore.SendToHost:
			message, err := platform.Decode(bytes.TrimSuffix(out.Line, []byte("\n")))
			if err != nil {
				panic(err)
			}
			var line []byte
			switch message.Type {
			case platform.TypeRequest:
				line = platform.Append(nil, platform.TypeBound, message.Ref, platform.NoCause, []byte(`""`))
			case platform.TypeProbe:
				line = platform.Append(nil, platform.TypeProbeResult, message.Ref, platform.CauseHealthy, nil)
			default:
				continue
			}
			in = append(in, platformcore.HostData{Connection: out.Connection, Data: line})
		}
	}
	return in
}
