// Package compose parses service descriptions of the Compose Specification into the model of package servicespec. It reads
// no file, socket or environment variable itself: the caller passes files and variables in. docs/compose.md lists how each
// element is treated.
package compose

import (
	"path"
	"regexp"
	"slices"

	"forkhead/internal/parse/diagnostic"
	"forkhead/internal/parse/servicespec"
)

// The limits of one submission.
const (
	MaxBytes = 4 << 20 // total size of all files
	maxFiles = 64
)

var projectName = regexp.MustCompile(`^[a-z0-9][a-z0-9_-]{0,127}$`)

// wantProjectName describes, in errors, the names that the pattern projectName matches.
const wantProjectName = "lower-case letters, digits, - and _, at most 128"

// File is a file of a submission.
type File struct {
	Name string `json:"name"`
	Text string `json:"text"`
}

// Input is everything that a description is parsed from.
type Input struct {
	Files           []File            // merged in this order
	ReferencedFiles []File            // files that the elements extends, env_file and label_file may refer to
	Variables       map[string]string // values for interpolation
	Profiles        []string          // active profiles; "*": all
	Services        []string          // names of services that are active regardless of their profiles
	Project         string            // overrides the project name in the files; "": no override

	Classes []string // names of the classes in the settings
	Tenants []string // names of the tenants in the settings
}

// Parse parses a description. The error lists the faults with file, line and column.
func Parse(in *Input) (*servicespec.Description, error) {
	if err := checkInput(in); err != nil {
		return nil, err
	}
	errs := &diagnostic.List{}
	d := &decoder{in: in, errs: errs, out: &servicespec.Description{}}
	l := &loader{
		in: in, budget: maxNodes, errs: errs, trees: map[string]*value{},
		interpolator: &interpolator{vars: in.Variables, errs: errs, notedUnset: map[string]bool{}, addNote: d.addNote},
	}
	tree, err := l.loadAll()
	if err != nil {
		return nil, err
	}
	d.project(tree)
	if err := errs.Err(); err != nil {
		return nil, err
	}
	if err := d.out.Check(); err != nil {
		return nil, err
	}
	return d.out, nil
}

// checkInput checks the size of a submission and its project name.
func checkInput(in *Input) error {
	pos := diagnostic.Pos{File: "submission"}
	size, count := 0, len(in.Files)+len(in.ReferencedFiles)
	for _, f := range slices.Concat(in.Files, in.ReferencedFiles) {
		size += len(f.Text)
	}
	if size > MaxBytes || count > maxFiles {
		return diagnostic.Wantf(pos, "at most 4 MiB in 64 files", "%d bytes in %d files", size, count)
	}
	if in.Project != "" && !projectName.MatchString(in.Project) {
		return diagnostic.Wantf(pos, wantProjectName, "project %q", in.Project)
	}
	return nil
}

// find looks up a file in the submission by a reference, and returns the name and text of the file. The parameter from
// is the name of the file that has the reference, name is the path in the reference, and pos is the position of the
// reference.
func (in *Input) find(from, name string, pos diagnostic.Pos) (file, text string, err error) {
	resolved := ResolvePath(from, name)
	for _, files := range [][]File{in.ReferencedFiles, in.Files} {
		for _, f := range files {
			if f.Name == resolved || f.Name == name {
				return f.Name, f.Text, nil
			}
		}
	}
	return "", "", diagnostic.Wantf(pos, "the file with the submission: forkhead submit sends it along", "%s is missing from the submission", resolved)
}

// ResolvePath returns the path of the file that a reference names. The parameter from is the path of the file that has
// the reference, and name is the path in the reference, which is relative to the folder of that file unless it is
// absolute.
func ResolvePath(from, name string) string {
	if path.IsAbs(name) {
		return path.Clean(name)
	}
	return path.Join(path.Dir(from), name)
}
