package store

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"forkhead/internal/parse/servicespec"
	"forkhead/internal/protocol/hostproto"
	"forkhead/internal/scheduler/durable"
)

func open(t *testing.T, path string, most int64) (*Store, *durable.Snapshot) {
	t.Helper()
	s, kept, err := Open(Options{Path: path, MaxBytes: most, QuarantineSuffix: func(time.Time) string { return "x" }})
	if err != nil {
		t.Fatal(err)
	}
	return s, kept
}

func taken(id string) durable.Record {
	return durable.SubmissionAccepted{
		Submission:    durable.Submission{ID: id, IdempotencyKey: "key-" + id, BodyHash: 7, TotalOutcomes: 2, AcceptedAt: time.Hour, Project: "p-" + id},
		Specification: &servicespec.Description{Services: []servicespec.Service{{Name: "web", Replicas: 2, Cores: 0.5, Labels: map[string]string{"a": "b"}}}},
	}
}

func told(id string, n int) durable.Record {
	return durable.OutcomeReported{SubmissionID: id, Index: n, Outcome: []byte(fmt.Sprintf(`{"replica":%d}`, n+1)), Task: durable.Task{Project: "p-" + id, Service: "web", Replica: n + 1, Outcome: "placed"}}
}

func offered(task uint32) durable.Record {
	return durable.AttemptOffered{Attempt: durable.Attempt{Ref: hostproto.Ref{Epoch: 1, Task: task}, TaskKey: 5, Project: "p-a", Service: "web", Replica: 1, Host: "h"}}
}

func TestKeepAndRead(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s.db")
	s, kept := open(t, path, 0)
	if len(kept.Projects) != 0 {
		t.Fatalf("a new file keeps %+v", kept)
	}
	keep := func(notes ...durable.Record) {
		t.Helper()
		if err := s.Commit(notes); err != nil {
			t.Fatal(err)
		}
	}
	keep(durable.IncarnationStarted{Epoch: 9})
	keep(taken("a"), taken("b"), offered(1), offered(2))
	if s.Commits != 2 {
		t.Fatalf("%d fsyncs for two steps", s.Commits)
	}
	keep(told("a", 0))
	keep(durable.AttemptResolved{Ref: hostproto.Ref{Epoch: 1, Task: 1}}) // nothing waits for it
	if s.Commits != 3 || !s.HasPending() {
		t.Fatalf("%d fsyncs, pending %v", s.Commits, s.HasPending())
	}
	keep(durable.ProjectRemoved{Project: "p-b", At: 2 * time.Hour}, durable.SubmissionExpired{SubmissionID: "b"})
	if err := s.CloseWithoutFlush(); err != nil {
		t.Fatal(err)
	}
	s, kept = open(t, path, 0)
	defer s.Close()
	if len(kept.Unreadable) > 0 || kept.Epoch != 9 || len(kept.Projects) != 1 || len(kept.Submissions) != 1 || len(kept.Attempts) != 1 || kept.Tombstones["p-b"] != 2*time.Hour {
		t.Fatalf("%+v", kept)
	}
	p, f := kept.Projects[0], kept.Submissions[0]
	if p.Specification.Name != "p-a" || p.Specification.Services[0].Labels["a"] != "b" || len(p.Tasks) != 1 || p.Tasks[0].Outcome != "placed" {
		t.Errorf("project %+v", p)
	}
	if f.ID != "a" || f.IdempotencyKey != "key-a" || f.TotalOutcomes != 2 || len(f.Outcomes) != 1 || string(f.Outcomes[0]) != `{"replica":1}` {
		t.Errorf("submission %+v", f)
	}
	if kept.Attempts[0].Ref.Task != 2 {
		t.Errorf("attempt %+v", kept.Attempts[0])
	}
}

// At its bound the store takes nothing that grows it, says so, and still forgets.
func TestFull(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s.db")
	s, _ := open(t, path, 1)
	defer s.Close()
	if err := s.Commit([]durable.Record{taken("a")}); !errors.Is(err, ErrFull) {
		t.Fatalf("%v", err)
	}
	if err := s.Commit([]durable.Record{durable.ProjectRemoved{Project: "p"}}); !errors.Is(err, ErrFull) {
		t.Fatalf("a tombstone: %v", err) // it grows the file, too
	}
	if err := s.Commit([]durable.Record{durable.TombstoneExpired{Project: "p"}, durable.SubmissionExpired{SubmissionID: "a"}}); err != nil {
		t.Fatal(err)
	}
	if err := s.Flush(); err != nil {
		t.Fatal(err)
	}
}

// A file that is cut anywhere, or has a byte turned, is read whole, with the keys named that do not hold, or set aside
// whole; what is read is never another thing than what was kept.
func TestBrokenFiles(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "s.db")
	s, _ := open(t, path, 0)
	for i := range 20 {
		if err := s.Commit([]durable.Record{taken(fmt.Sprint(i)), told(fmt.Sprint(i), 0), offered(uint32(i))}); err != nil {
			t.Fatal(err)
		}
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	good, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	s, whole := open(t, path, 0)
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	projects := map[string]durable.Project{}
	for _, p := range whole.Projects {
		projects[p.Specification.Name] = p
	}
	aside, named := 0, 0
	try := func(name string, text []byte) {
		broken := filepath.Join(dir, name)
		if err := os.WriteFile(broken, text, 0o600); err != nil {
			t.Fatal(err)
		}
		s, kept := open(t, broken, 0)
		if s.QuarantinedAs != "" {
			aside++
			if set, err := os.ReadFile(s.QuarantinedAs); err != nil || len(set) < len(text) {
				t.Errorf("%s: what was set aside has %d bytes of %d, %v", name, len(set), len(text), err)
			}
			_ = os.Remove(s.QuarantinedAs)
		} else if len(kept.Unreadable) > 0 {
			named++
		}
		for _, p := range kept.Projects {
			if !reflect.DeepEqual(p.Specification, projects[p.Specification.Name].Specification) {
				t.Errorf("%s: %s was read as %+v", name, p.Specification.Name, p.Specification)
			}
		}
		if err := s.Close(); err != nil {
			t.Error(err)
		}
		_ = os.Remove(broken)
	}
	for n := 1; n < len(good); n += 4099 {
		try(fmt.Sprintf("cut-%d", n), good[:n])
	}
	for n := 0; n < len(good); n += 1021 {
		text := append([]byte(nil), good...)
		text[n] ^= 0x41
		try(fmt.Sprintf("turned-%d", n), text)
	}
	// One byte of each value: found by its checksum.
	text := []byte(strings.ReplaceAll(string(good), `"Cores":0.5`, `"Cores":9.5`))
	before := named
	try("value", text)
	if aside == 0 || named == before {
		t.Errorf("%d files set aside, %d with keys named: neither may be none", aside, named)
	}
}

func TestSeal(t *testing.T) {
	b := durable.EncodeValue([]byte("text"))
	if text, v, err := durable.DecodeValue(b); err != nil || v != durable.FormatVersion || string(text) != "text" {
		t.Fatalf("%q %d %v", text, v, err)
	}
	for i := range b {
		c := append([]byte(nil), b...)
		c[i] ^= 1
		if _, _, err := durable.DecodeValue(c); !errors.Is(err, durable.ErrChecksum) {
			t.Errorf("byte %d turned: %v", i, err)
		}
	}
}

// BenchmarkKeep is the cost of a step's notes: one fsync, whether it serves one ask or a hundred.
func BenchmarkKeep(b *testing.B) {
	for _, asks := range []int{1, 10, 100} {
		b.Run(fmt.Sprint(asks), func(b *testing.B) {
			s, _, err := Open(Options{Path: filepath.Join(b.TempDir(), "s.db")})
			if err != nil {
				b.Fatal(err)
			}
			defer s.Close()
			n := 0
			for b.Loop() {
				var notes []durable.Record
				for range asks {
					n++
					notes = append(notes, taken(fmt.Sprint(n)))
				}
				if err := s.Commit(notes); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(n), "us/ask")
		})
	}
}
