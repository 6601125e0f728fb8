package store

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"forkhead/internal/parse/servicespec"
	"forkhead/internal/protocol/hostproto"
	"forkhead/internal/scheduler/durable"
)

func openStore(t *testing.T, path string, maxBytes int64) (*Store, *durable.Snapshot) {
	t.Helper()
	s, snapshot, err := Open(Options{Path: path, MaxBytes: maxBytes, QuarantineSuffix: func(time.Time) string { return "x" }})
	if err != nil {
		t.Fatal(err)
	}
	return s, snapshot
}

func closeStore(t testing.TB, s *Store) {
	t.Helper()
	if err := s.Close(); err != nil {
		t.Error(err)
	}
}

func commit(t *testing.T, s *Store, records ...durable.Record) {
	t.Helper()
	if err := s.Commit(records); err != nil {
		t.Fatal(err)
	}
}

func checkCommits(t *testing.T, s *Store, want int, pending bool) {
	t.Helper()
	if s.Commits != want || s.HasPending() != pending {
		t.Fatalf("%d commits, pending %v; want %d, %v", s.Commits, s.HasPending(), want, pending)
	}
}

func submissionAccepted(id string) durable.SubmissionAccepted {
	return durable.SubmissionAccepted{
		Submission: durable.Submission{
			ID: id, IdempotencyKey: "key-" + id, BodyHash: 7, TotalOutcomes: 2, AcceptedAt: time.Hour, Project: "p-" + id,
		},
		Specification: &servicespec.Description{Services: []servicespec.Service{{
			Name: "web", Replicas: 2, Cores: 0.5, Labels: map[string]string{"a": "b"},
		}}},
	}
}

func outcomeReported(id string, index int) durable.OutcomeReported {
	return durable.OutcomeReported{
		SubmissionID: id, Index: index, Outcome: fmt.Appendf(nil, `{"replica":%d}`, index+1),
		Task: durable.Task{Project: "p-" + id, Service: "web", Replica: index + 1, Outcome: "placed"},
	}
}

func attemptOffered(task uint32) durable.AttemptOffered {
	return durable.AttemptOffered{Attempt: durable.Attempt{
		Ref: hostproto.Ref{Epoch: 1, Task: task}, TaskKey: 5, Project: "p-a", Service: "web", Replica: 1, Host: "h",
	}}
}

// A store that was closed as by a crash restores what must be durable first, and nothing that was dropped.
func TestStoreRestoresCommittedRecords(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s.db")
	s, empty := openStore(t, path, 0)
	if want := (&durable.Snapshot{Tombstones: map[string]time.Duration{}}); !reflect.DeepEqual(empty, want) {
		t.Fatalf("a new file holds %+v", empty)
	}
	commit(t, s, durable.IncarnationStarted{Epoch: 9})
	commit(t, s, submissionAccepted("a"), submissionAccepted("b"), attemptOffered(1), attemptOffered(2))
	checkCommits(t, s, 2, false)
	commit(t, s, outcomeReported("a", 0))
	commit(t, s, durable.AttemptResolved{Ref: hostproto.Ref{Epoch: 1, Task: 1}}) // need not be durable first
	checkCommits(t, s, 3, true)
	commit(t, s, durable.ProjectRemoved{Project: "p-b", At: 2 * time.Hour}, durable.SubmissionExpired{SubmissionID: "b"})
	if err := s.CloseWithoutFlush(); err != nil {
		t.Fatal(err)
	}
	s, restored := openStore(t, path, 0)
	defer closeStore(t, s)
	accepted, reported := submissionAccepted("a"), outcomeReported("a", 0)
	accepted.Specification.Name = "p-a"
	want := &durable.Snapshot{
		Projects: []durable.Project{{
			SubmissionID: "a", Specification: accepted.Specification, Tasks: []durable.Task{reported.Task},
		}},
		Tombstones:  map[string]time.Duration{"p-b": 2 * time.Hour},
		Submissions: []durable.SubmissionProgress{{Submission: accepted.Submission, Outcomes: []json.RawMessage{reported.Outcome}}},
		Attempts:    []durable.Attempt{attemptOffered(2).Attempt},
		Epoch:       9,
	}
	if !reflect.DeepEqual(restored, want) {
		t.Errorf("restored %+v, want %+v", restored, want)
	}
}

// At its bound the store refuses what adds to it, and still drops keys.
func TestStoreRefusesGrowthAtMaxBytes(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s.db")
	s, _ := openStore(t, path, 1)
	defer closeStore(t, s)
	if err := s.Commit([]durable.Record{submissionAccepted("a")}); !errors.Is(err, ErrFull) {
		t.Fatalf("%v", err)
	}
	if err := s.Commit([]durable.Record{durable.ProjectRemoved{Project: "p"}}); !errors.Is(err, ErrFull) {
		t.Fatalf("a tombstone: %v", err) // it adds to the file, too
	}
	commit(t, s, durable.TombstoneExpired{Project: "p"}, durable.SubmissionExpired{SubmissionID: "a"})
	if err := s.Flush(); err != nil {
		t.Fatal(err)
	}
}

// damagedFiles opens damaged copies of one file and counts how that was detected.
type damagedFiles struct {
	folder      string
	projects    map[string]durable.Project // of the undamaged file, by name
	quarantined int                        // files
	reported    int                        // files that were read but for some keys
}

// open opens a file with the given content. What is read of it must be what the undamaged file holds.
func (d *damagedFiles) open(t *testing.T, name string, content []byte) {
	t.Helper()
	path := filepath.Join(d.folder, name)
	if err := os.WriteFile(path, content, 0o600); err != nil {
		t.Fatal(err)
	}
	s, snapshot := openStore(t, path, 0)
	switch {
	case s.QuarantinedAs != "":
		d.quarantined++
		checkQuarantined(t, s.QuarantinedAs, len(content))
	case len(snapshot.Unreadable) > 0:
		d.reported++
	}
	for _, p := range snapshot.Projects {
		if !reflect.DeepEqual(p.Specification, d.projects[p.Specification.Name].Specification) {
			t.Errorf("%s: %s was read as %+v", name, p.Specification.Name, p.Specification)
		}
	}
	closeStore(t, s)
	_ = os.Remove(path)
}

// checkQuarantined checks that a quarantined file was not truncated, and removes it.
func checkQuarantined(t *testing.T, path string, minBytes int) {
	t.Helper()
	content, err := os.ReadFile(path)
	if err != nil || len(content) < minBytes {
		t.Errorf("%s has %d bytes of %d, %v", path, len(content), minBytes, err)
	}
	_ = os.Remove(path)
}

// writeExampleFile returns the content of a file with twenty projects, and the projects by name.
func writeExampleFile(t *testing.T) ([]byte, map[string]durable.Project) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "s.db")
	s, _ := openStore(t, path, 0)
	for i := range 20 {
		commit(t, s, submissionAccepted(fmt.Sprint(i)), outcomeReported(fmt.Sprint(i), 0), attemptOffered(uint32(i)))
	}
	closeStore(t, s)
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	s, snapshot := openStore(t, path, 0)
	closeStore(t, s)
	projects := map[string]durable.Project{}
	for _, p := range snapshot.Projects {
		projects[p.Specification.Name] = p
	}
	return content, projects
}

// A file that is truncated anywhere, or has a byte changed, is read as a whole, with the keys reported whose values do not hold, or
// quarantined as a whole; what is read is never another thing than what was stored.
func TestOpenReportsDamagedFiles(t *testing.T) {
	content, projects := writeExampleFile(t)
	d := &damagedFiles{folder: t.TempDir(), projects: projects}
	for n := 1; n < len(content); n += 4099 {
		d.open(t, fmt.Sprintf("cut-%d", n), content[:n])
	}
	for n := 0; n < len(content); n += 1021 {
		changed := slices.Clone(content)
		changed[n] ^= 0x41
		d.open(t, fmt.Sprintf("changed-%d", n), changed)
	}
	// One byte of each specification: found by its checksum.
	before := d.reported
	d.open(t, "value", []byte(strings.ReplaceAll(string(content), `"Cores":0.5`, `"Cores":9.5`)))
	if d.quarantined == 0 || d.reported == before {
		t.Errorf("%d files quarantined, %d with keys reported: neither may be none", d.quarantined, d.reported)
	}
}

// BenchmarkStoreCommit measures a step's records: one fsync, whether it serves one placement request or a hundred.
func BenchmarkStoreCommit(b *testing.B) {
	for _, requests := range []int{1, 10, 100} {
		b.Run(fmt.Sprint(requests), func(b *testing.B) {
			s, _, err := Open(Options{Path: filepath.Join(b.TempDir(), "s.db")})
			if err != nil {
				b.Fatal(err)
			}
			defer closeStore(b, s)
			n := 0
			for b.Loop() {
				var records []durable.Record
				for range requests {
					n++
					records = append(records, submissionAccepted(fmt.Sprint(n)))
				}
				if err := s.Commit(records); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(n), "us/request")
		})
	}
}
