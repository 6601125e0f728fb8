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

func open(t *testing.T, path string, most int64) (*Store, *durable.Kept) {
	t.Helper()
	s, kept, err := Open(Options{Path: path, Most: most, Aside: func(time.Time) string { return "x" }})
	if err != nil {
		t.Fatal(err)
	}
	return s, kept
}

func taken(id string) durable.Note {
	return durable.Taken{
		Submission: durable.Submission{ID: id, Key: "key-" + id, Body: 7, Total: 2, At: time.Hour, Project: "p-" + id},
		What:       &servicespec.Description{Services: []servicespec.Service{{Name: "web", Replicas: 2, Cores: 0.5, Labels: map[string]string{"a": "b"}}}},
	}
}

func told(id string, n int) durable.Note {
	return durable.Told{Submission: id, Number: n, Text: []byte(fmt.Sprintf(`{"replica":%d}`, n+1)), Task: durable.Task{Project: "p-" + id, Service: "web", Replica: n + 1, Word: "placed"}}
}

func offered(task uint32) durable.Note {
	return durable.Offered{Attempt: durable.Attempt{Ref: hostproto.Ref{Epoch: 1, Task: task}, Key: 5, Project: "p-a", Service: "web", Replica: 1, Host: "h"}}
}

func TestKeepAndRead(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s.db")
	s, kept := open(t, path, 0)
	if len(kept.Projects) != 0 {
		t.Fatalf("a new file keeps %+v", kept)
	}
	keep := func(notes ...durable.Note) {
		t.Helper()
		if err := s.Keep(notes); err != nil {
			t.Fatal(err)
		}
	}
	keep(durable.Began{Epoch: 9})
	keep(taken("a"), taken("b"), offered(1), offered(2))
	if s.Commits != 2 {
		t.Fatalf("%d fsyncs for two steps", s.Commits)
	}
	keep(told("a", 0))
	keep(durable.Settled{Ref: hostproto.Ref{Epoch: 1, Task: 1}}) // nothing waits for it
	if s.Commits != 3 || !s.Pending() {
		t.Fatalf("%d fsyncs, pending %v", s.Commits, s.Pending())
	}
	keep(durable.Removed{Project: "p-b", At: 2 * time.Hour}, durable.Forgotten{Submission: "b"})
	if err := s.Kill(); err != nil {
		t.Fatal(err)
	}
	s, kept = open(t, path, 0)
	defer s.Close()
	if len(kept.Bad) > 0 || kept.Epoch != 9 || len(kept.Projects) != 1 || len(kept.Submissions) != 1 || len(kept.Attempts) != 1 || kept.Removed["p-b"] != 2*time.Hour {
		t.Fatalf("%+v", kept)
	}
	p, f := kept.Projects[0], kept.Submissions[0]
	if p.What.Name != "p-a" || p.What.Services[0].Labels["a"] != "b" || len(p.Tasks) != 1 || p.Tasks[0].Word != "placed" {
		t.Errorf("project %+v", p)
	}
	if f.ID != "a" || f.Key != "key-a" || f.Total != 2 || len(f.Outcomes) != 1 || string(f.Outcomes[0]) != `{"replica":1}` {
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
	if err := s.Keep([]durable.Note{taken("a")}); !errors.Is(err, ErrFull) {
		t.Fatalf("%v", err)
	}
	if err := s.Keep([]durable.Note{durable.Removed{Project: "p"}}); !errors.Is(err, ErrFull) {
		t.Fatalf("a tombstone: %v", err) // it grows the file, too
	}
	if err := s.Keep([]durable.Note{durable.Erased{Project: "p"}, durable.Forgotten{Submission: "a"}}); err != nil {
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
		if err := s.Keep([]durable.Note{taken(fmt.Sprint(i)), told(fmt.Sprint(i), 0), offered(uint32(i))}); err != nil {
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
		projects[p.What.Name] = p
	}
	aside, named := 0, 0
	try := func(name string, text []byte) {
		broken := filepath.Join(dir, name)
		if err := os.WriteFile(broken, text, 0o600); err != nil {
			t.Fatal(err)
		}
		s, kept := open(t, broken, 0)
		if s.Aside != "" {
			aside++
			if set, err := os.ReadFile(s.Aside); err != nil || len(set) < len(text) {
				t.Errorf("%s: what was set aside has %d bytes of %d, %v", name, len(set), len(text), err)
			}
			_ = os.Remove(s.Aside)
		} else if len(kept.Bad) > 0 {
			named++
		}
		for _, p := range kept.Projects {
			if !reflect.DeepEqual(p.What, projects[p.What.Name].What) {
				t.Errorf("%s: %s was read as %+v", name, p.What.Name, p.What)
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
	b := durable.Seal([]byte("text"))
	if text, v, err := durable.Open(b); err != nil || v != durable.Version || string(text) != "text" {
		t.Fatalf("%q %d %v", text, v, err)
	}
	for i := range b {
		c := append([]byte(nil), b...)
		c[i] ^= 1
		if _, _, err := durable.Open(c); !errors.Is(err, durable.ErrSum) {
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
				var notes []durable.Note
				for range asks {
					n++
					notes = append(notes, taken(fmt.Sprint(n)))
				}
				if err := s.Keep(notes); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(n), "us/ask")
		})
	}
}
