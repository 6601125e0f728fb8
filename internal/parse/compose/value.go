package compose

import "forkhead/internal/parse/diagnostic"

// kind is the kind of a value.
type kind uint8

const (
	null kind = iota
	scalar
	mapping
	sequence
)

// String returns what errors call a value of the kind.
func (k kind) String() string {
	return [...]string{"nothing", "a single value", "a mapping", "a list"}[k]
}

// The YAML tags that the Compose Specification defines for merging.
const (
	tagReset    = "!reset"    // removes the value that earlier files have at this path
	tagOverride = "!override" // replaces the value that earlier files have at this path, without merging
)

// value is a node of a tree whose aliases and merge keys are expanded. Trees are not modified once they are built, since
// merged trees share nodes.
type value struct {
	pos    diagnostic.Pos
	kind   kind
	text   string   // text of a scalar
	plain  bool     // the scalar was written without quotes
	tag    string   // tagReset or tagOverride, else ""
	items  []*value // entries of a sequence
	keys   []string // keys of a mapping, in the order of the file
	fields map[string]*value
	keyPos map[string]diagnostic.Pos
}

// newMap returns an empty mapping at a position.
func newMap(pos diagnostic.Pos) *value {
	return &value{pos: pos, kind: mapping, fields: map[string]*value{}, keyPos: map[string]diagnostic.Pos{}}
}

// get returns a field of a mapping, or nil if there is no such field or v is nil or not a mapping.
func (v *value) get(key string) *value {
	if v == nil || v.kind != mapping {
		return nil
	}
	return v.fields[key]
}

// set adds a field to a mapping, or replaces it.
func (v *value) set(key string, pos diagnostic.Pos, field *value) {
	if _, ok := v.fields[key]; !ok {
		v.keys = append(v.keys, key)
	}
	v.fields[key], v.keyPos[key] = field, pos
}

// isEmpty reports whether a value is absent or null.
func (v *value) isEmpty() bool { return v == nil || v.kind == null }
