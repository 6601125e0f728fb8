// Package compose reads service descriptions by the Compose Specification into the model of
// package description. It reads no file, socket or environment itself: files and variables
// are handed in. docs/compose.md says what becomes of each element.
package compose

import (
	"path"
	"strings"

	"forkhead/internal/parse/diagnostic"
	"forkhead/internal/parse/servicespec"
)

// File is a file of a submission.
type File struct {
	Name string `json:"name"`
	Text string `json:"text"`
}

// Input is all that a description is read from.
type Input struct {
	Files     []File            // merged in this order
	Others    []File            // that extends, env_file and label_file may name
	Variables map[string]string // for interpolation
	Profiles  []string          // active ones; "*" for all
	Services  []string          // services asked for by name: active whatever their profiles
	Project   string            // name that comes before the files'

	Classes []string // names the settings know
	Tenants []string
}

// Parse reads a description. The error lists what is wrong with file, line and column.
func Parse(in *Input) (*servicespec.Description, error) {
	size := 0
	for _, f := range append(append([]File{}, in.Files...), in.Others...) {
		size += len(f.Text)
	}
	if size > MaxBytes || len(in.Files)+len(in.Others) > mostFiles {
		return nil, diagnostic.Wantf(diagnostic.Pos{File: "submission"}, "at most 4 MiB in 64 files", "%d bytes in %d files", size, len(in.Files)+len(in.Others))
	}
	if in.Project != "" && !projectName.MatchString(in.Project) {
		return nil, diagnostic.Wantf(diagnostic.Pos{File: "submission"}, "lower-case letters, digits, - and _, at most 128", "project %q", in.Project)
	}
	p := &parser{in: in, budget: mostNodes, errs: &diagnostic.List{}}
	d := &decoder{in: in, errs: p.errs, out: &servicespec.Description{}, reader: p.read}
	p.interpolator = &interpolator{vars: in.Variables, errs: p.errs, warned: map[string]bool{}, notes: d.note}
	tree, err := p.tree()
	if err != nil {
		return nil, err
	}
	d.project(tree)
	if err := p.errs.Err(); err != nil {
		return nil, err
	}
	if err := d.out.Check(); err != nil {
		return nil, err
	}
	return d.out, nil
}

type parser struct {
	in           *Input
	budget       int
	errs         *diagnostic.List
	interpolator *interpolator
	loaded       map[string]*value
}

// tree returns the one tree that all files make, variables, merges and extends resolved.
func (p *parser) tree() (*value, error) {
	p.loaded = map[string]*value{}
	ext := &extender{files: map[string]*value{}, load: p.load, done: map[string]*value{}}
	var all *value
	for _, f := range p.in.Files {
		tree, err := p.file(f)
		if err != nil {
			return nil, err
		}
		if tree == nil {
			continue
		}
		p.loaded[f.Name] = tree
		ext.files[f.Name] = tree
		// Extends go by the file that names them, so they are resolved before files are merged.
		resolved, err := p.extended(ext, f.Name, tree)
		if err != nil {
			return nil, err
		}
		all = merge(all, resolved, "")
	}
	if all == nil {
		name := "submission"
		if len(p.in.Files) > 0 {
			name = p.in.Files[0].Name
		}
		return nil, diagnostic.Wantf(diagnostic.Pos{File: name, Line: 1, Col: 1}, "a Compose file", "there is nothing in it")
	}
	return all, p.errs.Err()
}

func (p *parser) file(f File) (*value, error) {
	docs, err := parse(f.Name, []byte(f.Text), &p.budget)
	if err != nil {
		return nil, err
	}
	var all *value
	for _, doc := range docs {
		if doc.kind != mapping {
			return nil, diagnostic.Wantf(doc.pos, "a mapping with services", "the file is %s", doc.kind)
		}
		all = merge(all, p.interpolator.tree(doc), "")
	}
	return all, nil
}

func (p *parser) extended(ext *extender, name string, tree *value) (*value, error) {
	services := tree.get("services")
	if services == nil || services.kind != mapping {
		return tree, nil
	}
	out := newMap(services.pos)
	for _, s := range services.keys {
		v, err := ext.service(name, s, services.keyPos[s], nil)
		if err != nil {
			return nil, err
		}
		out.set(s, services.keyPos[s], v)
	}
	top := newMap(tree.pos)
	for _, k := range tree.keys {
		top.set(k, tree.keyPos[k], tree.fields[k])
	}
	top.set("services", tree.keyPos["services"], out)
	return top, nil
}

// load returns the tree of a file that extends names.
func (p *parser) load(from, name string, pos diagnostic.Pos) (*value, string, error) {
	at, text, err := p.read(from, name, pos)
	if err != nil {
		return nil, "", err
	}
	if tree, ok := p.loaded[at]; ok {
		return tree, at, nil
	}
	tree, err := p.file(File{Name: at, Text: string(text)})
	if err != nil {
		return nil, "", err
	}
	if tree == nil {
		return nil, "", diagnostic.Errorf(pos, "%s is empty", at)
	}
	p.loaded[at] = tree
	return tree, at, nil
}

// read finds a file of the submission by its path from the file that names it.
func (p *parser) read(from, name string, pos diagnostic.Pos) (string, []byte, error) {
	at := Resolve(from, name)
	for _, list := range [][]File{p.in.Others, p.in.Files} {
		for _, f := range list {
			if f.Name == at || f.Name == name {
				return f.Name, []byte(f.Text), nil
			}
		}
	}
	return "", nil, diagnostic.Wantf(pos, "the file with the submission: forkhead submit sends it along", "%s was not given", at)
}

// Resolve gives the path of a file that another one names.
func Resolve(from, name string) string {
	if path.IsAbs(name) {
		return path.Clean(name)
	}
	return path.Join(path.Dir(from), name)
}

// References lists the other files that a file names by extends, env_file and label_file, as
// written, so that a client can send them along. A file that cannot be read names none.
func References(f File) []string {
	budget := mostNodes
	docs, err := parse(f.Name, []byte(f.Text), &budget)
	if err != nil {
		return nil
	}
	var out []string
	add := func(v *value) {
		if v != nil && v.kind == scalar && v.text != "" && !strings.Contains(v.text, "$") {
			out = append(out, v.text)
		}
	}
	for _, doc := range docs {
		services := doc.get("services")
		if services == nil || services.kind != mapping {
			continue
		}
		for _, name := range services.keys {
			s := services.fields[name]
			add(s.get("extends").get("file"))
			for _, key := range []string{"env_file", "label_file"} {
				v := s.get(key)
				if v == nil {
					continue
				}
				add(v)
				for _, item := range v.items {
					add(item)
					add(item.get("path"))
				}
			}
		}
	}
	return out
}
