// Package ids maps the names of hosts to the 32-bit numbers that identify the hosts in the module. A number is a hash
// of the name, so that all placers use the same number without exchanging messages. Names whose hashes collide get
// other numbers, which depend on the set of names alone.
package ids

import (
	"encoding/binary"
	"hash/fnv"
	"slices"
)

// Hash returns a hash of a name with a salt.
type Hash func(name string, salt uint32) uint32

// FNV returns the FNV-1a hash of the salt and the name; it is never 0. Placers use this Hash, while tests use one with
// more collisions.
func FNV(name string, salt uint32) uint32 {
	h := fnv.New32a()
	h.Write(binary.LittleEndian.AppendUint32(nil, salt))
	h.Write([]byte(name))
	return max(h.Sum32(), 1)
}

// Table maps names to numbers. Names are never removed.
type Table struct {
	hash     Hash
	numbers  map[string]uint32
	salts    map[string]uint32 // salt of the current number of a name; 0 if there is no entry
	names    map[uint32]string // for each number in use, the name that has it
	collided map[uint32]bool   // numbers to which two names hashed; no name has such a number
}

// NewTable returns an empty table.
func NewTable(hash Hash) *Table {
	return &Table{
		hash: hash, numbers: map[string]uint32{}, salts: map[string]uint32{}, names: map[uint32]string{},
		collided: map[uint32]bool{},
	}
}

// Renumbered is a name that lost its number in a collision and has another number now.
type Renumbered struct {
	Name string
	Old  uint32 // number of the name before the collision
}

// Add returns the number of a name, and assigns one if the name has none. The result renumbered lists the other names
// that lost their numbers in a collision, in the order in which they lost them; the caller notifies the module that the
// old numbers are removed.
//
// If two names hash to the same number, both get the hash with the next salt, whichever was added first. The result
// therefore depends on which names there are, and not on the order in which a placer received them.
func (t *Table) Add(name string) (number uint32, renumbered []Renumbered) {
	if n, ok := t.numbers[name]; ok {
		return n, nil
	}
	pending := []string{name}
	for len(pending) > 0 {
		last := len(pending) - 1
		next := pending[last]
		pending = pending[:last]

		n := t.candidate(next)
		other, taken := t.names[n]
		if !taken {
			t.numbers[next], t.names[n] = n, next
			continue
		}
		t.collide(n, other, next)
		pending = append(pending, other, next)
		if other != name && !slices.ContainsFunc(renumbered, func(r Renumbered) bool { return r.Name == other }) {
			renumbered = append(renumbered, Renumbered{Name: other, Old: n})
		}
	}
	return t.numbers[name], renumbered
}

// candidate returns the first hash of a name that is not known to collide. It tries the salts in order, beginning with
// the name's current one, and stores the salt of the hash that it returns.
func (t *Table) candidate(name string) uint32 {
	n := t.hash(name, t.salts[name])
	for t.collided[n] {
		t.salts[name]++
		n = t.hash(name, t.salts[name])
	}
	return n
}

// collide takes a number from holder, the name that has it. It increments the salts of holder and of newcomer, a new
// name that hashed to the same number.
func (t *Table) collide(number uint32, holder, newcomer string) {
	t.collided[number] = true
	delete(t.names, number)
	delete(t.numbers, holder)
	t.salts[holder]++
	t.salts[newcomer]++
}

// Number returns the number of a name; ok is false if the name was never added.
func (t *Table) Number(name string) (number uint32, ok bool) {
	number, ok = t.numbers[name]
	return number, ok
}
