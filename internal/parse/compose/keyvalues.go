package compose

import (
	"strings"

	"forkhead/internal/parse/diagnostic"
)

// keyValueFiles parses the files of KEY=VALUE lines that a service refers to in one element, such as env_file. The
// element is a path, a mapping that has the path, or a list of paths and mappings. Later files override earlier ones.
// The parameter fileKind is what errors call such a file.
func (d *decoder) keyValueFiles(service *value, key, fileKind string) map[string]string {
	pairs := map[string]string{}
	v := service.get(key)
	if v.isEmpty() {
		return pairs
	}
	entries := []*value{v}
	if v.kind == sequence {
		entries = v.items
	}
	for _, entry := range entries {
		d.keyValueFile(entry, key, fileKind, pairs)
	}
	return pairs
}

// keyValueFile adds the keys and values in one file to the map pairs. The parameter entry is the path of the file, or a
// mapping that has the path. A missing file is an error unless the mapping has required: false.
func (d *decoder) keyValueFile(entry *value, key, fileKind string, pairs map[string]string) {
	path, required := entry, true
	if entry.kind == mapping {
		d.checkKeys(entry, key, "path", "required", "format")
		if r := entry.get("required"); r != nil {
			required = d.boolean(r, "required")
		}
		path = entry.get("path")
	}
	if path == nil || path.kind != scalar {
		d.wantf(entry.pos, "a path", "%s has no path", key)
		return
	}
	file, text, err := d.in.find(path.pos.File, path.text, path.pos)
	if err != nil {
		if required {
			d.errs.Add(err)
		}
		return
	}
	for i, line := range strings.Split(text, "\n") {
		d.keyValueLine(line, diagnostic.Pos{File: file, Line: i + 1, Col: 1}, fileKind, pairs)
	}
}

// keyValueLine adds the key and value in one line to the map pairs. The line has the form [export ]KEY=VALUE, with or
// without quotes around VALUE, or KEY alone, whose value is that of the variable KEY. Empty lines and lines that begin
// with # are ignored.
func (d *decoder) keyValueLine(line string, pos diagnostic.Pos, fileKind string, pairs map[string]string) {
	line = strings.TrimSpace(strings.TrimSuffix(line, "\r"))
	if line == "" || line[0] == '#' {
		return
	}
	key, val, hasValue := strings.Cut(line, "=")
	key = strings.TrimSpace(strings.TrimPrefix(key, "export "))
	if key == "" || strings.ContainsAny(key, " \t") {
		d.wantf(pos, "KEY=VALUE", "invalid line in the %s", fileKind)
		return
	}
	if !hasValue {
		pairs[key] = d.in.Variables[key]
		return
	}
	pairs[key] = unquote(strings.TrimSpace(val))
}

// unquote removes the quotes around a text, if it begins and ends with the same kind of quote.
func unquote(text string) string {
	if len(text) > 1 && (text[0] == '"' || text[0] == '\'') && text[len(text)-1] == text[0] {
		return text[1 : len(text)-1]
	}
	return text
}
