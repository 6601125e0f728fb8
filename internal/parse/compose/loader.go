package compose

import (
	"forkhead/internal/parse/diagnostic"
)

// loader turns the files of a submission into one tree: variables, merge keys, extends and merges are resolved.
type loader struct {
	in           *Input
	budget       int // nodes that the files may still have
	errs         *diagnostic.List
	interpolator *interpolator
	trees        map[string]*value // of the files loaded so far, by name
}

// loadAll returns the one tree that all files make.
func (l *loader) loadAll() (*value, error) {
	ext := &extender{files: l.trees, resolved: map[serviceID]*value{}, load: l.loadReferenced}
	var all *value
	for _, f := range l.in.Files {
		tree, err := l.load(f)
		if err != nil {
			return nil, err
		}
		if tree == nil {
			continue
		}
		l.trees[f.Name] = tree
		// An extends without a file means the file that it is in, so it is resolved before files are merged.
		resolved, err := resolveExtends(ext, f.Name, tree)
		if err != nil {
			return nil, err
		}
		all = merge(all, resolved, "")
	}
	if all == nil {
		name := "submission"
		if len(l.in.Files) > 0 {
			name = l.in.Files[0].Name
		}
		return nil, diagnostic.Wantf(diagnostic.Pos{File: name, Line: 1, Col: 1}, "a Compose file", "there is nothing in it")
	}
	return all, l.errs.Err()
}

// load returns the tree that a file's documents make; nil if there are none.
func (l *loader) load(f File) (*value, error) {
	docs, err := parseYAML(f.Name, []byte(f.Text), &l.budget)
	if err != nil {
		return nil, err
	}
	var all *value
	for _, doc := range docs {
		if doc.kind != mapping {
			return nil, diagnostic.Wantf(doc.pos, "a mapping with services", "the file is %s", doc.kind)
		}
		all = merge(all, l.interpolator.interpolate(doc), "")
	}
	return all, nil
}

// loadReferenced loads a file that the file from names at pos, unless it is loaded, and returns its name.
func (l *loader) loadReferenced(from, name string, pos diagnostic.Pos) (string, error) {
	file, text, err := l.in.find(from, name, pos)
	if err != nil {
		return "", err
	}
	if _, ok := l.trees[file]; ok {
		return file, nil
	}
	tree, err := l.load(File{Name: file, Text: text})
	if err != nil {
		return "", err
	}
	if tree == nil {
		return "", diagnostic.Errorf(pos, "%s is empty", file)
	}
	l.trees[file] = tree
	return file, nil
}

// resolveExtends returns the tree of a file with the extends of its services resolved.
func resolveExtends(ext *extender, file string, tree *value) (*value, error) {
	services := tree.get("services")
	if services == nil || services.kind != mapping {
		return tree, nil
	}
	resolved := newMap(services.pos)
	for _, name := range services.keys {
		service, err := ext.service(serviceID{file, name}, services.keyPos[name], nil)
		if err != nil {
			return nil, err
		}
		resolved.set(name, services.keyPos[name], service)
	}
	top := newMap(tree.pos)
	for _, key := range tree.keys {
		top.set(key, tree.keyPos[key], tree.fields[key])
	}
	top.set("services", tree.keyPos["services"], resolved)
	return top, nil
}
