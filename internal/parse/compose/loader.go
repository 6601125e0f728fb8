package compose

import (
	"forkhead/internal/parse/diagnostic"
)

// loader combines the files of a submission into one tree. It interpolates variables, expands merge keys, resolves extends
// and merges the files.
type loader struct {
	in           *Input
	budget       int // number of nodes that the files not yet loaded may have in total
	errs         *diagnostic.List
	interpolator *interpolator
	trees        map[string]*value // trees of the files loaded so far, by file name
}

// loadAll returns the merged tree of all files.
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
		// If an element extends has no path, it refers to its own file. So the element must be resolved before the
		// files are merged.
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

// load parses a file and returns the merged tree of its documents, or nil if all documents are empty.
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

// loadReferenced loads the file that a reference names, unless it is loaded already, and returns the name of the file
// in the submission. The parameter from is the name of the file that has the reference, name is the path in the
// reference, and pos is the position of the reference.
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

// resolveExtends returns the tree of a file with the element extends of its services resolved.
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
