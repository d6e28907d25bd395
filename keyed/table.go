// Package keyed holds tables whose keys callers choose, such as sessions and parts of prompts. A table has a fixed capacity and is divided
// fairly among the owners of its entries, usually teams: whoever adds most pushes out its own entries.
package keyed

import (
	"iter"

	"github.com/cespare/xxhash/v2"
)

// Table is a map of limited size. When it is full, a new entry replaces the least recently used one of the owner with the most entries. An
// owner that adds entries without end can so push out those of others only while these have more than an equal part of the table. It is
// not safe for concurrent use.
type Table[K comparable, V any] struct {
	capacity int
	index    map[K]int32 // position in slots
	slots    []slot[K, V]
	owners   map[uint32]*list
	pushed   int64
}

// slot holds one entry. It is linked into the list of its owner's entries.
type slot[K comparable, V any] struct {
	key         K
	value       V
	owner       uint32
	older, next int32 // positions, or none
}

// list holds the entries of one owner, from the least to the most recently used.
type list struct {
	oldest, newest int32
	count          int
}

const none = int32(-1)

// New returns an empty table for a number of entries, at least 1. It allocates memory as entries are added.
func New[K comparable, V any](capacity int) *Table[K, V] {
	return &Table[K, V]{capacity: max(1, capacity), index: map[K]int32{}, owners: map[uint32]*list{}}
}

// Len returns the number of entries.
func (t *Table[K, V]) Len() int { return len(t.index) }

// PushedOut returns the number of entries that were replaced by others in the full table.
func (t *Table[K, V]) PushedOut() int64 { return t.pushed }

// Get returns the value of a key, and whether there is an entry. It does not count as a use.
func (t *Table[K, V]) Get(key K) (value V, ok bool) {
	i, ok := t.index[key]
	if !ok {
		return value, false
	}
	return t.slots[i].value, true
}

// Use is Get and counts as a use.
func (t *Table[K, V]) Use(key K) (value V, ok bool) {
	i, ok := t.index[key]
	if !ok {
		return value, false
	}
	l := t.owners[t.slots[i].owner]
	t.unlink(l, i)
	t.link(l, i)
	return t.slots[i].value, true
}

// Put sets the value of a key, which counts as a use. A new entry belongs to owner.
func (t *Table[K, V]) Put(owner uint32, key K, value V) {
	if i, ok := t.index[key]; ok {
		t.slots[i].value = value
		t.Use(key)
		return
	}
	i := t.place(owner)
	l := t.owners[owner]
	if l == nil {
		l = &list{oldest: none, newest: none}
		t.owners[owner] = l
	}
	t.slots[i] = slot[K, V]{key: key, value: value, owner: owner}
	t.index[key] = i
	t.link(l, i)
	l.count++
}

// Delete removes a key. It does nothing if there is no entry.
func (t *Table[K, V]) Delete(key K) {
	i, ok := t.index[key]
	if !ok {
		return
	}
	t.remove(i)
	if last := int32(len(t.slots) - 1); i != last { // keeps the slots dense
		t.move(last, i)
	}
	t.slots = t.slots[:len(t.slots)-1]
}

// All returns all entries, in no particular order. The table must not be changed meanwhile.
func (t *Table[K, V]) All() iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		for i := range t.slots {
			if !yield(t.slots[i].key, t.slots[i].value) {
				return
			}
		}
	}
}

// place returns the position for a new entry of an owner. In a full table, it is that of an entry that is removed.
func (t *Table[K, V]) place(owner uint32) int32 {
	if len(t.slots) < t.capacity {
		t.slots = append(t.slots, slot[K, V]{})
		return int32(len(t.slots) - 1)
	}
	most, count := owner, 0
	if l := t.owners[owner]; l != nil {
		count = l.count
	}
	for o, l := range t.owners {
		if l.count > count+1 || l.count > count && t.owners[most] == nil {
			most, count = o, l.count
		}
	}
	i := t.owners[most].oldest
	t.remove(i)
	t.pushed++
	return i
}

// remove takes an entry out of the index and of its owner's list. Its slot can be used again.
func (t *Table[K, V]) remove(i int32) {
	s := &t.slots[i]
	l := t.owners[s.owner]
	t.unlink(l, i)
	if l.count--; l.count == 0 {
		delete(t.owners, s.owner)
	}
	delete(t.index, s.key)
	*s = slot[K, V]{}
}

// move moves an entry to the position of a removed one.
func (t *Table[K, V]) move(from, to int32) {
	s := t.slots[from]
	t.slots[to] = s
	t.slots[from] = slot[K, V]{}
	t.index[s.key] = to
	l := t.owners[s.owner]
	if s.older == none {
		l.oldest = to
	} else {
		t.slots[s.older].next = to
	}
	if s.next == none {
		l.newest = to
	} else {
		t.slots[s.next].older = to
	}
}

// link adds an entry to a list as the most recently used one.
func (t *Table[K, V]) link(l *list, i int32) {
	s := &t.slots[i]
	s.older, s.next = l.newest, none
	if l.newest == none {
		l.oldest = i
	} else {
		t.slots[l.newest].next = i
	}
	l.newest = i
}

func (t *Table[K, V]) unlink(l *list, i int32) {
	s := &t.slots[i]
	if s.older == none {
		l.oldest = s.next
	} else {
		t.slots[s.older].next = s.next
	}
	if s.next == none {
		l.newest = s.older
	} else {
		t.slots[s.next].older = s.older
	}
}

// OwnerOf returns the owner for a name, such as that of a team.
func OwnerOf(name string) uint32 { return uint32(xxhash.Sum64String(name)) }
