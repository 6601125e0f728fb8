package compose

import (
	"errors"
	"io"
	"strings"

	"go.yaml.in/yaml/v3"

	"forkhead/internal/parse/diagnostic"
)

// Limits of one submission's files.
const (
	MaxBytes    = 4 << 20 // in all files
	mostNodes   = 50_000  // after aliases and merge keys are expanded
	mostDepth   = 64
	mostFiles   = 64
	mostExtends = 32
)

// kind is the kind of a value.
type kind uint8

const (
	null kind = iota
	scalar
	mapping
	sequence
)

func (k kind) String() string {
	return [...]string{"nothing", "a single value", "a mapping", "a list"}[k]
}

// value is a node of the expanded tree. Trees are not changed once built, so that merges share.
type value struct {
	pos    diagnostic.Pos
	kind   kind
	text   string // of a scalar
	plain  bool   // the scalar stood without quotes
	tag    string // !reset or !override, else ""
	keys   []string
	fields map[string]*value
	keyPos map[string]diagnostic.Pos
	items  []*value
}

func (v *value) get(key string) *value {
	if v == nil || v.kind != mapping {
		return nil
	}
	return v.fields[key]
}

// newMap returns an empty mapping at a place.
func newMap(pos diagnostic.Pos) *value {
	return &value{pos: pos, kind: mapping, fields: map[string]*value{}, keyPos: map[string]diagnostic.Pos{}}
}

func (v *value) set(key string, pos diagnostic.Pos, to *value) {
	if _, ok := v.fields[key]; !ok {
		v.keys = append(v.keys, key)
	}
	v.fields[key], v.keyPos[key] = to, pos
}

// builder expands YAML nodes into values.
type builder struct {
	file  string
	nodes int
	open  map[*yaml.Node]bool // anchors being expanded: an alias to one would not end
}

// parse reads all documents of one file.
func parse(file string, text []byte, budget *int) ([]*value, error) {
	d := yaml.NewDecoder(strings.NewReader(string(text)))
	var docs []*value
	for {
		var n yaml.Node
		err := d.Decode(&n)
		if errors.Is(err, io.EOF) {
			return docs, nil
		}
		if err != nil {
			return nil, unreadable(file, err)
		}
		if len(docs) >= mostFiles {
			return nil, diagnostic.Wantf(diagnostic.Pos{File: file, Line: n.Line, Col: n.Column}, "at most 64", "too many documents")
		}
		b := &builder{file: file, nodes: *budget, open: map[*yaml.Node]bool{}}
		v, err := b.build(&n, 0)
		if err != nil {
			return nil, err
		}
		*budget = b.nodes
		if v.kind != null {
			docs = append(docs, v)
		}
	}
}

// unreadable gives a parser's error the place that its text names.
func unreadable(file string, err error) error {
	text := strings.TrimPrefix(err.Error(), "yaml: ")
	pos := diagnostic.Pos{File: file, Line: 1, Col: 1}
	if rest, ok := strings.CutPrefix(text, "line "); ok {
		line := 0
		for len(rest) > 0 && rest[0] >= '0' && rest[0] <= '9' && line < 1<<24 {
			line, rest = line*10+int(rest[0]-'0'), rest[1:]
		}
		pos.Line, text = max(line, 1), strings.TrimPrefix(rest, ": ")
	}
	return diagnostic.Errorf(pos, "not readable as YAML: %s", text)
}

func (b *builder) build(n *yaml.Node, depth int) (*value, error) {
	pos := diagnostic.Pos{File: b.file, Line: n.Line, Col: n.Column}
	// Guards against aliases that unfold into more than memory holds.
	if b.nodes--; b.nodes < 0 {
		return nil, diagnostic.Wantf(pos, "at most 50000 nodes", "the files unfold to too much")
	}
	if depth > mostDepth {
		return nil, diagnostic.Wantf(pos, "at most 64 levels", "nested too deep")
	}
	v := &value{pos: pos}
	if n.Tag == "!reset" || n.Tag == "!override" {
		v.tag = n.Tag
	}
	switch n.Kind {
	case yaml.DocumentNode:
		if len(n.Content) == 0 {
			return v, nil
		}
		return b.build(n.Content[0], depth)
	case yaml.AliasNode:
		if b.open[n.Alias] {
			return nil, diagnostic.Errorf(pos, "the alias *%s stands inside what it names", n.Value)
		}
		return b.build(n.Alias, depth+1)
	case yaml.ScalarNode:
		if n.Tag == "!!null" || n.Kind == 0 {
			return v, nil
		}
		v.kind, v.text, v.plain = scalar, n.Value, n.Style&(yaml.SingleQuotedStyle|yaml.DoubleQuotedStyle|yaml.LiteralStyle|yaml.FoldedStyle) == 0
		if v.tag != "" && n.Value == "null" {
			v.kind = null
		}
		return v, nil
	case yaml.SequenceNode:
		b.open[n] = true
		defer delete(b.open, n)
		v.kind = sequence
		for _, c := range n.Content {
			item, err := b.build(c, depth+1)
			if err != nil {
				return nil, err
			}
			v.items = append(v.items, item)
		}
		return v, nil
	case yaml.MappingNode:
		b.open[n] = true
		defer delete(b.open, n)
		return b.mapping(n, pos, v.tag, depth)
	}
	return v, nil
}

// mapping builds a mapping; merge keys (<<) give what the mapping itself does not name.
func (b *builder) mapping(n *yaml.Node, pos diagnostic.Pos, tag string, depth int) (*value, error) {
	v := newMap(pos)
	v.tag = tag
	var merged []*value
	for i := 0; i+1 < len(n.Content); i += 2 {
		k := n.Content[i]
		kpos := diagnostic.Pos{File: b.file, Line: k.Line, Col: k.Column}
		if k.Kind != yaml.ScalarNode {
			return nil, diagnostic.Wantf(kpos, "a word", "a key is not a single value")
		}
		c, err := b.build(n.Content[i+1], depth+1)
		if err != nil {
			return nil, err
		}
		if k.Value == "<<" && k.Style == 0 {
			sources := []*value{c}
			if c.kind == sequence {
				sources = c.items
			}
			for _, m := range sources {
				if m.kind != mapping {
					return nil, diagnostic.Wantf(m.pos, "a mapping or a list of mappings", "<< is given %s", m.kind)
				}
				merged = append(merged, m)
			}
			continue
		}
		if _, twice := v.fields[k.Value]; twice {
			return nil, diagnostic.Errorf(kpos, "%q stands here a second time", k.Value)
		}
		v.set(k.Value, kpos, c)
	}
	for _, m := range merged { // earlier sources win over later ones
		for _, key := range m.keys {
			if _, ok := v.fields[key]; !ok {
				v.set(key, m.keyPos[key], m.fields[key])
			}
		}
	}
	return v, nil
}
