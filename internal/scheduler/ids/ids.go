// Package ids gives hosts, which have names, the 32-bit numbers that the module knows them by.
// The number is a hash of the name, so that all placers use the same without a word between
// them. Names whose hashes collide get others, which depend on the names alone.
package ids

import (
	"encoding/binary"
	"hash/fnv"
)

// Hash is a hash of a name with a salt.
type Hash func(name string, salt uint32) uint32

// FNV is the hash in use: FNV-1a of the salt and the name, never 0.
func FNV(name string, salt uint32) uint32 {
	h := fnv.New32a()
	h.Write(binary.LittleEndian.AppendUint32(nil, salt))
	h.Write([]byte(name))
	return max(h.Sum32(), 1)
}

// Table maps names to numbers and back.
type Table struct {
	hash   Hash
	number map[string]uint32
	salt   map[string]uint32
	name   map[uint32]string
	burnt  map[uint32]bool // numbers that two names have hashed to: neither keeps them
}

// NewTable returns an empty table.
func NewTable(hash Hash) *Table {
	return &Table{
		hash: hash, number: map[string]uint32{}, salt: map[string]uint32{}, name: map[uint32]string{},
		burnt: map[uint32]bool{},
	}
}

// Add gives a name its number. renamed lists names that lost theirs to a collision and have
// another now, with the old number; the caller tells the module that the old one is gone.
//
// Where two names hash to one number, both move on to the hash with the next salt, whichever
// came first: so the outcome depends on which names there are, not on the order in which a
// placer heard of them.
func (t *Table) Add(name string) (number uint32, renamed map[string]uint32) {
	if n, ok := t.number[name]; ok {
		return n, nil
	}
	work := []string{name}
	for len(work) > 0 {
		w := work[len(work)-1]
		work = work[:len(work)-1]
		n := t.hash(w, t.salt[w])
		for t.burnt[n] {
			t.salt[w]++
			n = t.hash(w, t.salt[w])
		}
		other, taken := t.name[n]
		if !taken {
			t.number[w], t.name[n] = n, w
			continue
		}
		t.burnt[n] = true
		delete(t.name, n)
		delete(t.number, other)
		t.salt[other]++
		t.salt[w]++
		if other != name {
			if renamed == nil {
				renamed = map[string]uint32{}
			}
			if _, already := renamed[other]; !already {
				renamed[other] = n
			}
		}
		work = append(work, other, w)
	}
	return t.number[name], renamed
}

// Number returns the number of a name.
func (t *Table) Number(name string) (uint32, bool) {
	n, ok := t.number[name]
	return n, ok
}

// Name returns the name of a number, or "".
func (t *Table) Name(number uint32) string { return t.name[number] }
