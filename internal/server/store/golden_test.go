package store_test

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"forkhead/internal/parse/settings"
	"forkhead/internal/protocol/hostproto"
	"forkhead/internal/scheduler/core"
	"forkhead/internal/scheduler/durable"
	"forkhead/internal/server/store"
)

// testdata/placer.db was written by `forkhead serve --config testdata/settings.sexp --store placer.db`, which was killed
// after it had placed two projects and removed one of them. A store that an earlier build wrote must stay readable, so the
// file is never written anew; -update writes only what is expected of it.
const (
	goldenStore    = "testdata/placer.db"
	goldenSettings = "testdata/settings.sexp"
)

var update = flag.Bool("update", false, "write the golden files anew")

// checkGolden compares text with testdata/name.
func checkGolden(t *testing.T, name string, text []byte) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		if err := os.WriteFile(path, text, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(text, want) {
		t.Errorf("%s differs\ngot:\n%s\nwant:\n%s", path, text, want)
	}
}

// copyOfGoldenStore returns the path of a copy, which Open may write to.
func copyOfGoldenStore(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile(goldenStore)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "placer.db")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// dump writes each key of a file with its sealed value's version and text.
func dump(t *testing.T, path string) []byte {
	t.Helper()
	var b bytes.Buffer
	if err := store.ForEach(path, func(bucket, key string, value []byte) error {
		text, version, err := durable.DecodeValue(value)
		fmt.Fprintf(&b, "%s\t%s\t%d\t%s\n", bucket, key, version, text)
		return err
	}); err != nil {
		t.Fatal(err)
	}
	return b.Bytes()
}

func openCopy(t *testing.T, path string) *durable.Snapshot {
	t.Helper()
	s, kept, err := store.Open(store.Options{Path: path})
	if err != nil {
		t.Fatal(err)
	}
	if s.QuarantinedAs != "" || len(kept.Unreadable) > 0 {
		t.Fatalf("set aside as %q, unreadable: %v", s.QuarantinedAs, kept.Unreadable)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	return kept
}

// The keys and values are the same before and after the file was opened, which writes it anew.
func TestStoreReadsGoldenFile(t *testing.T) {
	path := copyOfGoldenStore(t)
	checkGolden(t, "placer.dump", dump(t, path))
	openCopy(t, path)
	checkGolden(t, "placer.dump", dump(t, path))
}

// What is read from the file and noted once more is stored under the same keys with the same bytes.
func TestStoreWritesGoldenValues(t *testing.T) {
	path := copyOfGoldenStore(t)
	kept := openCopy(t, path)
	again := filepath.Join(t.TempDir(), "again.db")
	s, _, err := store.Open(store.Options{Path: again})
	if err != nil {
		t.Fatal(err)
	}
	notes := []durable.Record{durable.IncarnationStarted{Epoch: kept.Epoch}, durable.HostListReceived{List: kept.HostList}}
	for _, f := range kept.Submissions {
		var project durable.Project
		for _, p := range kept.Projects {
			if p.SubmissionID == f.ID {
				project = p
			}
		}
		if project.Specification == nil {
			notes = append(notes, durable.SubmissionAccepted{Submission: f.Submission}) // its project was removed
		} else {
			notes = append(notes, durable.SubmissionAccepted{Submission: f.Submission, Specification: project.Specification})
		}
		for n, text := range f.Outcomes {
			var o core.Outcome
			if err := json.Unmarshal(text, &o); err != nil {
				t.Fatal(err)
			}
			notes = append(notes, durable.OutcomeReported{SubmissionID: f.ID, Index: n, Outcome: text, Task: durable.Task{
				Project: f.Project, Service: o.Service, Replica: o.Replica, Outcome: o.Outcome,
			}})
		}
	}
	for name, at := range kept.Tombstones {
		notes = append(notes, durable.ProjectRemoved{Project: name, At: at})
	}
	for _, a := range kept.Attempts {
		notes = append(notes, durable.AttemptOffered{Attempt: a})
	}
	if err := s.Commit(notes); err != nil {
		t.Fatal(err)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	checkGolden(t, "placer.dump", dump(t, again))
}

// hostEpoch is that of the attempts in the file: their hosts live on.
const hostEpoch = 1796191483153710

// hosts answer a placer as hosts would that run whatever they are asked about or offered, and note both.
type hosts struct {
	t       *testing.T
	seen    []string
	answers []core.Input // to the outputs of the last step
}

func (h *hosts) carry(outputs []core.Output) {
	h.answers = nil
	for _, out := range outputs {
		switch out := out.(type) {
		case core.DialHost:
			h.answers = append(h.answers, core.HostConnected{Host: out.Host, Conn: out.Conn})
		case core.SendToHost:
			for _, f := range h.answer(out.Host, out.Frame) {
				h.answers = append(h.answers, core.FrameReceived{Host: out.Host, Conn: out.Conn, Frame: f})
			}
		case core.Log:
			if out.Defect {
				h.t.Errorf("defect: %s", out.Text)
			}
		}
	}
}

func (h *hosts) answer(host string, f hostproto.Frame) (answers []hostproto.Frame) {
	switch f := f.(type) {
	case hostproto.Hello:
		return []hostproto.Frame{hostproto.Welcome{Version: hostproto.Version, Host: host, Epoch: hostEpoch}}
	case hostproto.Probe:
		return []hostproto.Frame{hostproto.Probed{ID: f.ID}}
	case hostproto.Query:
		for _, ref := range f.Refs {
			h.seen = append(h.seen, fmt.Sprintf("asks %s about attempt %d of task %d of epoch %d", host, ref.Attempt, ref.Task, ref.Epoch))
			answers = append(answers, hostproto.Accepted{Ref: ref}, hostproto.Running{Ref: ref})
		}
	case hostproto.Offer:
		s := &f.Spec
		h.seen = append(h.seen, fmt.Sprintf(
			"offers %s: key %016x, service %016x, fingerprint %016x, class %s, %d thousandths of a core, %d MiB, life %v, %s",
			s.Name, s.Key, s.Service, s.Fingerprint, s.Class, s.Cores, s.Memory, s.Life, f.Payload))
		answers = append(answers, hostproto.Accepted{Ref: f.Ref}, hostproto.Running{Ref: f.Ref})
	case hostproto.Stop, hostproto.Withdraw:
		h.t.Errorf("%T to %s", f, host)
	}
	return answers
}

func (h *hosts) status(placer *core.Core, when string) {
	h.t.Helper()
	line, err := json.Marshal(placer.Status())
	if err != nil {
		h.t.Fatal(err)
	}
	h.seen = append(h.seen, when+" "+string(line))
}

// A placer that begins with the file holds the same tasks and submissions: it asks the hosts about the unsafe tasks, which
// it does not offer again, and offers the safe ones, which nobody has named, under the same identities.
func TestPlacerRestoresGoldenFile(t *testing.T) {
	kept := openCopy(t, copyOfGoldenStore(t))
	text, err := os.ReadFile(goldenSettings)
	if err != nil {
		t.Fatal(err)
	}
	set, err := settings.Read(goldenSettings, text)
	if err != nil {
		t.Fatal(err)
	}
	placer, err := core.New(core.Config{Settings: set.For(0), Seed: 1, Epoch: kept.Epoch + 1, Durable: true})
	if err != nil {
		t.Fatal(err)
	}
	h := &hosts{t: t}
	now := kept.HostList.ReceivedAt + 10*time.Second
	h.carry(placer.Step(now, core.Restore{Snapshot: kept}))
	h.status(placer, "restored")
	restored := len(h.seen)
	for range 500 {
		now += 10 * time.Millisecond
		h.carry(placer.Step(now, h.answers...))
	}
	slices.Sort(h.seen[restored:])
	h.status(placer, "5s later")
	for _, f := range kept.Submissions {
		list, complete, known := placer.Outcomes(f.ID, 0)
		line, err := json.Marshal(list)
		if err != nil {
			t.Fatal(err)
		}
		h.seen = append(h.seen, fmt.Sprintf("submission %s, complete %v, known %v: %s", f.ID, complete, known, line))
	}
	checkGolden(t, "restored.txt", []byte(strings.Join(h.seen, "\n")+"\n"))
}
