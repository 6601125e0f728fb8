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

// projectFlags are what bears on reading a description.
type projectFlags struct {
	project  string
	profiles []string
	services []string
	envFile  string
}

func (p *projectFlags) add(f *pflag.FlagSet) {
	f.StringVarP(&p.project, "project", "p", "", "the project's name (default: the file's own, else that of its folder)")
	f.StringSliceVar(&p.profiles, "profile", nil, "an active profile; * for all")
	f.StringSliceVar(&p.services, "service", nil, "a service that is wanted whatever its profiles")
	f.StringVar(&p.envFile, "env-file", "", "variables as NAME=VALUE lines (default: .env beside the first file)")
}

// envelope gathers the files of a submission, those that they name, and the variables.
func (p *projectFlags) envelope(names []string) (*placer.Envelope, error) {
	e := &placer.Envelope{Profiles: p.profiles, Services: p.services, Project: p.project, Variables: map[string]string{}}
	seen := map[string]bool{}
	var load func(name string, into *[]compose.File, must bool) error
	load = func(name string, into *[]compose.File, must bool) error {
		name = filepath.ToSlash(name)
		if seen[name] {
			return nil
		}
		seen[name] = true
		text, err := os.ReadFile(name)
		if err != nil {
			if must {
				return unreadable(err, "a Compose description")
			}
			return nil // the parser says who named it
		}
		if len(text) > compose.MostBytes {
			return badInput(fmt.Errorf("%s: %d bytes, at most %d are read", name, len(text), compose.MostBytes))
		}
		f := compose.File{Name: name, Text: string(text)}
		*into = append(*into, f)
		for _, ref := range compose.References(f) {
			if err := load(compose.Resolve(name, ref), &e.Others, false); err != nil {
				return err
			}
		}
		return nil
	}
	for _, name := range names {
		if err := load(name, &e.Files, true); err != nil {
			return nil, err
		}
	}
	return e, p.variables(e, names[0])
}

// variables come from .env, or the file that is named, and over it from the environment.
func (p *projectFlags) variables(e *placer.Envelope, first string) error {
	name, must := p.envFile, true
	if name == "" {
		name, must = filepath.Join(filepath.Dir(first), ".env"), false
	}
	text, err := os.ReadFile(name)
	if err != nil && (must || !errors.Is(err, os.ErrNotExist)) {
		return badInput(err)
	}
	for i, line := range strings.Split(string(text), "\n") {
		line = strings.TrimSpace(line)
		if line == "" || line[0] == '#' {
			continue
		}
		k, v, ok := strings.Cut(line, "=")
		if !ok {
			return badInput(fmt.Errorf("%s:%d:1: %q; want NAME=VALUE", name, i+1, line))
		}
		e.Variables[strings.TrimSpace(k)] = strings.Trim(strings.TrimSpace(v), `"'`)
	}
	for _, kv := range os.Environ() {
		k, v, _ := strings.Cut(kv, "=")
		if used(e, k) {
			e.Variables[k] = v
		}
	}
	return nil
}

// used says whether any file names a variable: the rest of the environment stays here.
func used(e *placer.Envelope, name string) bool {
	for _, list := range [][]compose.File{e.Files, e.Others} {
		for _, f := range list {
			if strings.Contains(f.Text, name) {
				return true
			}
		}
	}
	return false
}

// parse reads an envelope as a placer with these settings would.
func parse(e *placer.Envelope, s *settings.Settings) (*servicespec.Description, error) {
	in := &compose.Input{
		Files: e.Files, Others: e.Others, Variables: e.Variables, Profiles: e.Profiles, Services: e.Services, Project: e.Project,
		Tenants: s.Tenants,
	}
	for _, c := range s.Classes {
		in.Classes = append(in.Classes, c.Name)
	}
	d, err := compose.Parse(in)
	return d, badInput(err)
}

// named makes sure that a project has a name: by the specification that of the file's folder.
func named(e *placer.Envelope, d *servicespec.Description, first string) {
	if d.Name != "" || e.Project != "" {
		return
	}
	dir, err := filepath.Abs(filepath.Dir(first))
	if err != nil {
		return
	}
	name := strings.Map(func(r rune) rune {
		switch {
		case r >= 'a' && r <= 'z', r >= '0' && r <= '9', r == '-', r == '_':
			return r
		case r >= 'A' && r <= 'Z':
			return r + 'a' - 'A'
		}
		return -1
	}, filepath.Base(dir))
	e.Project = strings.TrimLeft(name, "-_")
}
