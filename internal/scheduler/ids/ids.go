// Package ids gives hosts, which have names, the 32-bit numbers that the module knows them by. A number is a hash of the
// name, so that all placers use the same one without a message between them. Names whose hashes collide get others, which
// depend on the names alone.
package ids

import (
	"encoding/binary"
	"hash/fnv"
	"slices"
)

// Hash returns a hash of a name with a salt.
type Hash func(name string, salt uint32) uint32

// FNV returns the FNV-1a hash of the salt and the name, never 0. It is the hash in use; tests take one that collides more.
func FNV(name string, salt uint32) uint32 {
	h := fnv.New32a()
	h.Write(binary.LittleEndian.AppendUint32(nil, salt))
	h.Write([]byte(name))
	return max(h.Sum32(), 1)
}

// Table maps names to numbers. It never drops a name.
type Table struct {
	hash     Hash
	numbers  map[string]uint32
	salts    map[string]uint32 // of the present number; a name without an entry has salt 0
	names    map[uint32]string // by the present number
	collided map[uint32]bool   // numbers that two names have hashed to: neither has them
}

// NewTable returns an empty table.
func NewTable(hash Hash) *Table {
	return &Table{
		hash: hash, numbers: map[string]uint32{}, salts: map[string]uint32{}, names: map[uint32]string{},
		collided: map[uint32]bool{},
	}
}

// Renumbered is a name that lost its number to a collision and has another now.
type Renumbered struct {
	Name string
	Old  uint32 // the number that it had
}

// Add returns the number of a name, which it gives the name unless it has one. renumbered lists the other names that lost
// theirs to a collision, in the order in which they did; the caller notifies the module that the old numbers are removed.
//
// Where two names hash to one number, both get the hash with the next salt, whichever came first. So the outcome
// depends on which names there are, not on the order in which a placer received them.
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

// candidate returns the first hash of a name, from its salt on, that is not known to collide, and keeps the salt.
func (t *Table) candidate(name string) uint32 {
	n := t.hash(name, t.salts[name])
	for t.collided[n] {
		t.salts[name]++
		n = t.hash(name, t.salts[name])
	}
	return n
}

// collide takes a number from the name that has it, and moves that name and the one that hashed to it to their next salts.
func (t *Table) collide(number uint32, holder, newcomer string) {
	t.collided[number] = true
	delete(t.names, number)
	delete(t.numbers, holder)
	t.salts[holder]++
	t.salts[newcomer]++
}

// Number returns the number of a name; ok is false where the name was never added.
func (t *Table) Number(name string) (number uint32, ok bool) {
	number, ok = t.numbers[name]
	return number, ok
}
