package compose

import (
	"errors"
	"io"
	"strings"

	"go.yaml.in/yaml/v3"

	"forkhead/internal/parse/diagnostic"
)

// The limits of the YAML in one submission.
const (
	maxNodes     = 50_000 // nodes in all files, after expansion of aliases and merge keys
	maxDepth     = 64     // levels of nesting
	maxDocuments = 64     // documents in one file
)

// mergeKey is the YAML key that copies fields into its mapping. Its value is the mapping, or a list of the mappings, to
// copy the fields from.
const mergeKey = "<<"

// parseYAML returns the documents of one file, except for empty documents. *budget is the number of nodes that the
// files of the submission may still have in total. parseYAML subtracts the number of nodes in this file from it.
func parseYAML(file string, text []byte, budget *int) ([]*value, error) {
	decoder := yaml.NewDecoder(strings.NewReader(string(text)))
	var docs []*value
	for {
		var n yaml.Node
		err := decoder.Decode(&n)
		if errors.Is(err, io.EOF) {
			return docs, nil
		}
		if err != nil {
			return nil, syntaxError(file, err)
		}
		if len(docs) >= maxDocuments {
			return nil, diagnostic.Wantf(diagnostic.Pos{File: file, Line: n.Line, Col: n.Column}, "at most 64", "too many documents")
		}
		b := &builder{file: file, budget: *budget, building: map[*yaml.Node]bool{}}
		v, err := b.build(&n, 0)
		if err != nil {
			return nil, err
		}
		*budget = b.budget
		if v.kind != null {
			docs = append(docs, v)
		}
	}
}

// syntaxError converts an error of the YAML parser to an error with a position. The line of the position is the line
// number at the start of the text of the parser's error, or 1 if the text does not start with one.
func syntaxError(file string, err error) error {
	const maxLine = 1 << 24 // beyond this value, digits of the line number are ignored, to avoid an overflow
	text := strings.TrimPrefix(err.Error(), "yaml: ")
	pos := diagnostic.Pos{File: file, Line: 1, Col: 1}
	if rest, ok := strings.CutPrefix(text, "line "); ok {
		line := 0
		for len(rest) > 0 && rest[0] >= '0' && rest[0] <= '9' && line < maxLine {
			line, rest = line*10+int(rest[0]-'0'), rest[1:]
		}
		pos.Line, text = max(line, 1), strings.TrimPrefix(rest, ": ")
	}
	return diagnostic.Errorf(pos, "not readable as YAML: %s", text)
}

// builder converts YAML nodes to values, with aliases and merge keys expanded.
type builder struct {
	file     string
	budget   int                 // nodes that may still be built
	building map[*yaml.Node]bool // lists and mappings being built; an alias to one of them would expand without end
}

func (b *builder) posOf(n *yaml.Node) diagnostic.Pos {
	return diagnostic.Pos{File: b.file, Line: n.Line, Col: n.Column}
}

// build returns the value of a node. depth is its level of nesting.
func (b *builder) build(n *yaml.Node, depth int) (*value, error) {
	pos := b.posOf(n)
	// Without a limit on the nodes, aliases could expand to more nodes than fit in memory.
	if b.budget--; b.budget < 0 {
		return nil, diagnostic.Wantf(pos, "at most 50000 nodes", "the files have too many nodes, with aliases expanded")
	}
	if depth > maxDepth {
		return nil, diagnostic.Wantf(pos, "at most 64 levels", "nested too deeply")
	}
	switch n.Kind {
	case yaml.DocumentNode:
		if len(n.Content) > 0 {
			return b.build(n.Content[0], depth)
		}
	case yaml.AliasNode:
		if b.building[n.Alias] {
			return nil, diagnostic.Errorf(pos, "the alias *%s refers to a node that contains it", n.Value)
		}
		return b.build(n.Alias, depth+1)
	case yaml.ScalarNode:
		return b.scalar(n), nil
	case yaml.SequenceNode:
		return b.sequence(n, depth)
	case yaml.MappingNode:
		return b.mapping(n, depth)
	}
	return &value{pos: pos, tag: mergeTagOf(n)}, nil
}

// mergeTagOf returns the node's tag if it affects merging, else "".
func mergeTagOf(n *yaml.Node) string {
	if n.Tag == tagReset || n.Tag == tagOverride {
		return n.Tag
	}
	return ""
}

func (b *builder) scalar(n *yaml.Node) *value {
	const quoted = yaml.SingleQuotedStyle | yaml.DoubleQuotedStyle | yaml.LiteralStyle | yaml.FoldedStyle
	v := &value{pos: b.posOf(n), tag: mergeTagOf(n)}
	if n.Tag == "!!null" {
		return v
	}
	v.kind, v.text, v.plain = scalar, n.Value, n.Style&quoted == 0
	if v.tag != "" && n.Value == "null" {
		v.kind = null
	}
	return v
}

func (b *builder) sequence(n *yaml.Node, depth int) (*value, error) {
	b.building[n] = true
	defer delete(b.building, n)
	v := &value{pos: b.posOf(n), kind: sequence, tag: mergeTagOf(n)}
	for _, c := range n.Content {
		item, err := b.build(c, depth+1)
		if err != nil {
			return nil, err
		}
		v.items = append(v.items, item)
	}
	return v, nil
}

// mapping builds a mapping. A field from a merge key is added unless the mapping has a field of this name itself.
func (b *builder) mapping(n *yaml.Node, depth int) (*value, error) {
	b.building[n] = true
	defer delete(b.building, n)
	v := newMap(b.posOf(n))
	v.tag = mergeTagOf(n)
	var merged []*value
	for i := 0; i+1 < len(n.Content); i += 2 {
		key := n.Content[i]
		keyPos := b.posOf(key)
		if key.Kind != yaml.ScalarNode {
			return nil, diagnostic.Wantf(keyPos, "a word", "a key is not a single value")
		}
		field, err := b.build(n.Content[i+1], depth+1)
		if err != nil {
			return nil, err
		}
		if key.Value == mergeKey && key.Style == 0 {
			sources, err := mergeSources(field)
			if err != nil {
				return nil, err
			}
			merged = append(merged, sources...)
			continue
		}
		if _, ok := v.fields[key.Value]; ok {
			return nil, diagnostic.Errorf(keyPos, "duplicate key %q", key.Value)
		}
		v.set(key.Value, keyPos, field)
	}
	addMissingFields(v, merged)
	return v, nil
}

// mergeSources returns the mappings in the value of a merge key, which is one mapping or a list of them.
func mergeSources(v *value) ([]*value, error) {
	sources := []*value{v}
	if v.kind == sequence {
		sources = v.items
	}
	for _, source := range sources {
		if source.kind != mapping {
			return nil, diagnostic.Wantf(source.pos, "a mapping or a list of mappings", "<< is given %s", source.kind)
		}
	}
	return sources, nil
}

// addMissingFields adds the fields of the sources that v does not have. Earlier sources take precedence over later ones.
func addMissingFields(v *value, sources []*value) {
	for _, source := range sources {
		for _, key := range source.keys {
			if _, ok := v.fields[key]; !ok {
				v.set(key, source.keyPos[key], source.fields[key])
			}
		}
	}
}
