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

// settingsFlagUsage is the help of a flag of settings that a specification is checked against.
const settingsFlagUsage = "settings whose classes and tenants the specification may name (default: built-in ones)"

// specificationFlags are the flags of all commands that read a service specification.
type specificationFlags struct {
	project  string // "": the file's own name, else that of its folder
	profiles []string
	services []string
	envFile  string // "": .env beside the first file, if there is one
}

func (s *specificationFlags) add(f *pflag.FlagSet) {
	f.StringVarP(&s.project, "project", "p", "", "name of the project (default: the file's own, else that of its folder)")
	f.StringSliceVar(&s.profiles, "profile", nil, "an active profile; * for all")
	f.StringSliceVar(&s.services, "service", nil, "a service that is wanted whatever its profiles")
	f.StringVar(&s.envFile, "env-file", "", "variables as NAME=VALUE lines (default: .env beside the first file)")
}

// envelope gathers the files of a submission, the files that these name, and the variables.
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

// fileLoader puts files into an envelope, each once.
type fileLoader struct {
	envelope *placer.Envelope
	seen     map[string]bool
}

// loadNamed loads a file that the user names, which has to be there, and all that it refers to.
func (l *fileLoader) loadNamed(name string) error {
	return l.load(name, &l.envelope.Files, true)
}

// load appends a file to a list of the envelope, and the files that it refers to to the others.
func (l *fileLoader) load(name string, into *[]compose.File, required bool) error {
	name = filepath.ToSlash(name)
	if l.seen[name] {
		return nil
	}
	l.seen[name] = true
	text, err := os.ReadFile(name)
	if err != nil {
		if required {
			return unreadable(err, "a Compose description")
		}
		return nil // the parser reports it where the file is referred to
	}
	if len(text) > compose.MaxBytes {
		return badInput(fmt.Errorf("%s: %d bytes, at most %d are read", name, len(text), compose.MaxBytes))
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

// readEnvFile reads variables from lines NAME=VALUE; empty lines and those that begin with # are skipped.
func readEnvFile(variables map[string]string, name string, required bool) error {
	text, err := os.ReadFile(name)
	if err != nil && (required || !errors.Is(err, os.ErrNotExist)) {
		return badInput(err)
	}
	for i, line := range strings.Split(string(text), "\n") {
		line = strings.TrimSpace(line)
		if line == "" || line[0] == '#' {
			continue
		}
		key, value, ok := strings.Cut(line, "=")
		if !ok {
			return badInput(fmt.Errorf("%s:%d:1: %q; want NAME=VALUE", name, i+1, line))
		}
		variables[strings.TrimSpace(key)] = strings.Trim(strings.TrimSpace(value), `"'`)
	}
	return nil
}

// addEnvironment adds the environment's variables that a file may use, over those of the same names: the others stay in
// this process.
func addEnvironment(e *placer.Envelope) {
	for _, variable := range os.Environ() {
		key, value, _ := strings.Cut(variable, "=")
		if mentions(e.Files, key) || mentions(e.Others, key) {
			e.Variables[key] = value
		}
	}
}

// mentions reports whether a name stands anywhere in files.
func mentions(files []compose.File, name string) bool {
	for _, f := range files {
		if strings.Contains(f.Text, name) {
			return true
		}
	}
	return false
}

// parseSpecification parses an envelope as a placer with these settings would.
func parseSpecification(e *placer.Envelope, s *settings.Settings) (*servicespec.Description, error) {
	in := &compose.Input{
		Files: e.Files, ReferencedFiles: e.Others, Variables: e.Variables, Profiles: e.Profiles, Services: e.Services, Project: e.Project,
		Tenants: s.Tenants,
	}
	for _, c := range s.Classes {
		in.Classes = append(in.Classes, c.Name)
	}
	d, err := compose.Parse(in)
	return d, badInput(err)
}

// nameProject gives a project without a name that of the first file's folder, as the Compose specification has it.
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

// projectName makes a valid name of a project from a folder's: lower case letters, digits, - and _, beginning with a letter
// or a digit. It may be empty.
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
