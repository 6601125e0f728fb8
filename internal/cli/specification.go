package cli

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/spf13/pflag"

	"forkhead/internal/parse/compose"
	"forkhead/internal/parse/servicespec"
	"forkhead/internal/parse/settings"
	"forkhead/internal/server/placer"
)

// settingsFlagUsage is the help text of --config in commands that check a specification against settings.
const settingsFlagUsage = "settings file with the classes and tenants that the specification may name (default: built-in settings)"

// specificationFlags are the flags of all commands that read a service specification.
type specificationFlags struct {
	project  string // name of the project; "" for the name in the file or, if the file has none, its folder's name
	profiles []string
	services []string
	envFile  string // file of variables; "" for .env in the folder of the first file, if that file exists
}

func (s *specificationFlags) add(f *pflag.FlagSet) {
	f.StringVarP(&s.project, "project", "p", "", "name of the project (default: the name in the file, else that of its folder)")
	f.StringSliceVar(&s.profiles, "profile", nil, "profile to activate; * for all")
	f.StringSliceVar(&s.services, "service", nil, "service to include regardless of its profiles")
	f.StringVar(&s.envFile, "env-file", "", "file of variables, as NAME=VALUE lines (default: .env in the folder of the first file)")
}

// envelope reads the named files, the files that they refer to, and the variables. It returns all of these as an
// envelope, which can be submitted to a placer.
func (s *specificationFlags) envelope(names []string) (*placer.Envelope, error) {
	e := &placer.Envelope{Profiles: s.profiles, Services: s.services, Project: s.project, Variables: map[string]string{}}
	loader := fileLoader{envelope: e, seen: map[string]bool{}}
	for _, name := range names {
		if err := loader.loadNamed(name); err != nil {
			return nil, err
		}
	}
	envFile, required := s.envFile, true
	if envFile == "" {
		envFile, required = filepath.Join(filepath.Dir(names[0]), ".env"), false
	}
	if err := readEnvFile(e.Variables, envFile, required); err != nil {
		return nil, err
	}
	addEnvironment(e)
	return e, nil
}

// fileLoader adds files to an envelope, each file only once.
type fileLoader struct {
	envelope *placer.Envelope
	seen     map[string]bool // names of the files that load has read or tried to read
}

// loadNamed loads a file that the command line names, and all files that this file refers to. The file must exist.
func (l *fileLoader) loadNamed(name string) error {
	return l.load(name, &l.envelope.Files, true)
}

// load reads a file and appends it to the list into. It also reads the files that this file refers to, and appends them
// to the list envelope.Others. A file that cannot be read is an error if it is required, and is skipped otherwise.
func (l *fileLoader) load(name string, into *[]compose.File, required bool) error {
	name = filepath.ToSlash(name)
	if l.seen[name] {
		return nil
	}
	l.seen[name] = true
	text, err := os.ReadFile(name)
	if err != nil {
		if required {
			return unreadableFileError(err, "a Compose file")
		}
		return nil // the parser reports the missing file at the reference to it
	}
	if len(text) > compose.MaxBytes {
		return asInputError(fmt.Errorf("%s: file has %d bytes, want at most %d", name, len(text), compose.MaxBytes))
	}
	f := compose.File{Name: name, Text: string(text)}
	*into = append(*into, f)
	for _, reference := range compose.References(f) {
		if err := l.load(compose.ResolvePath(name, reference), &l.envelope.Others, false); err != nil {
			return err
		}
	}
	return nil
}

// readEnvFile reads a file of NAME=VALUE lines and adds these to the map variables. It skips empty lines and lines that
// begin with #. A file that is not required may be missing.
func readEnvFile(variables map[string]string, name string, required bool) error {
	text, err := os.ReadFile(name)
	if err != nil && (required || !errors.Is(err, os.ErrNotExist)) {
		return asInputError(err)
	}
	for i, line := range strings.Split(string(text), "\n") {
		line = strings.TrimSpace(line)
		if line == "" || line[0] == '#' {
			continue
		}
		key, value, ok := strings.Cut(line, "=")
		if !ok {
			return asInputError(fmt.Errorf("%s:%d:1: %q; want NAME=VALUE", name, i+1, line))
		}
		variables[strings.TrimSpace(key)] = strings.Trim(strings.TrimSpace(value), `"'`)
	}
	return nil
}

// addEnvironment adds to the envelope the environment variables whose names occur in the text of a file. They override
// variables of the same name that the envelope has. All other environment variables stay in this process.
func addEnvironment(e *placer.Envelope) {
	for _, variable := range os.Environ() {
		key, value, _ := strings.Cut(variable, "=")
		if anyFileContains(e.Files, key) || anyFileContains(e.Others, key) {
			e.Variables[key] = value
		}
	}
}

// anyFileContains reports whether the text of any of the files contains name.
func anyFileContains(files []compose.File, name string) bool {
	for _, f := range files {
		if strings.Contains(f.Text, name) {
			return true
		}
	}
	return false
}

// parseSpecification parses an envelope in the same way as a placer with the given settings.
func parseSpecification(e *placer.Envelope, s *settings.Settings) (*servicespec.Description, error) {
	in := &compose.Input{
		Files: e.Files, ReferencedFiles: e.Others, Variables: e.Variables, Profiles: e.Profiles, Services: e.Services, Project: e.Project,
		Tenants: s.Tenants,
	}
	for _, c := range s.Classes {
		in.Classes = append(in.Classes, c.Name)
	}
	d, err := compose.Parse(in)
	return d, asInputError(err)
}

// nameProject gives a project that has no name the name of the folder of its first file, as the Compose Specification
// requires.
func nameProject(e *placer.Envelope, d *servicespec.Description, first string) {
	if d.Name != "" || e.Project != "" {
		return
	}
	folder, err := filepath.Abs(filepath.Dir(first))
	if err != nil {
		return
	}
	e.Project = projectName(filepath.Base(folder))
}

// projectName derives a project name from the name of a folder. The result has only lower case letters, digits, - and
// _, and begins with a letter or a digit. Other characters are dropped, so the result may be empty.
func projectName(folder string) string {
	name := strings.Map(func(r rune) rune {
		switch {
		case r >= 'a' && r <= 'z', r >= '0' && r <= '9', r == '-', r == '_':
			return r
		case r >= 'A' && r <= 'Z':
			return r + 'a' - 'A'
		}
		return -1
	}, folder)
	return strings.TrimLeft(name, "-_")
}
