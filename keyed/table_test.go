package keyed

import (
	"math/rand/v2"
	"testing"
)

// Guards against a crowd of one owner that pushes out the entries of others.
func TestOneOwnerPushesOutOnlyItsOwnEntries(t *testing.T) {
	const capacity, others, each = 64, 3, 10
	table := New[int, int](capacity)
	for owner := range others {
		for n := range each {
			table.Put(uint32(owner+1), owner*each+n, n)
		}
	}
	for n := range 100 * capacity {
		table.Put(9, 1000+n, n)
	}
	if n := table.Len(); n != capacity {
		t.Errorf("%d entries, want %d", n, capacity)
	}
	for key := range others * each {
		if _, ok := table.Get(key); !ok {
			t.Errorf("entry %d of another owner is gone", key)
		}
	}
	for n := 100*capacity - (capacity - others*each); n < 100*capacity; n++ {
		if _, ok := table.Get(1000 + n); !ok {
			t.Errorf("entry %d, one of the newest of the owner with most, is gone", n)
		}
	}
}

// Guards against a newcomer that gets no entry in a table that another owner has filled, and takes more than an equal part.
func TestNewcomersGetAnEqualPart(t *testing.T) {
	const capacity = 60
	table := New[int, int](capacity)
	for n := range capacity {
		table.Put(1, n, n)
	}
	for n := range 10 * capacity {
		table.Put(uint32(2+n%2), 1000+n, n)
	}
	counts := map[uint32]int{}
	for o, l := range table.owners {
		counts[o] = l.count
	}
	for _, owner := range []uint32{1, 2, 3} {
		if n := counts[owner]; n < capacity/3-1 || n > capacity/3+1 {
			t.Errorf("owner %d has %d of %d entries", owner, n, capacity)
		}
	}
}

// Guards against an entry in use that goes before one that is not.
func TestTheLeastRecentlyUsedEntryGoes(t *testing.T) {
	table := New[string, int](2)
	table.Put(1, "a", 1)
	table.Put(1, "b", 2)
	table.Use("a")
	table.Put(1, "c", 3)
	if _, ok := table.Get("b"); ok {
		t.Error("the entry that was not used is still there")
	}
	if v, ok := table.Get("a"); !ok || v != 1 {
		t.Error("the entry in use is gone")
	}
}

// Guards against links and counts that go wrong as entries are added, used and removed, and that are not zero in the end.
func TestRandomOperations(t *testing.T) {
	const capacity, keys, owners = 40, 100, 5
	rng := rand.New(rand.NewPCG(1, 1))
	table := New[int, int](capacity)
	values := map[int]int{}
	for n := range 20_000 {
		key := rng.IntN(keys)
		switch rng.IntN(4) {
		case 0:
			table.Delete(key)
		case 1:
			table.Use(key)
		default:
			table.Put(uint32(rng.IntN(owners)), key, n)
			values[key] = n
		}
		checkLinks(t, table)
		if v, ok := table.Get(key); ok && v != values[key] {
			t.Fatalf("key %d has the value %d, want %d", key, v, values[key])
		}
	}
	for key := range keys {
		table.Delete(key)
	}
	if table.Len() != 0 || len(table.slots) != 0 || len(table.owners) != 0 {
		t.Errorf("%d keys, %d slots and %d owners are left", table.Len(), len(table.slots), len(table.owners))
	}
}

// checkLinks compares the lists with the index.
func checkLinks(t *testing.T, table *Table[int, int]) {
	t.Helper()
	total := 0
	for o, l := range table.owners {
		n, before := 0, none
		for i := l.oldest; i != none; i = table.slots[i].next {
			if s := table.slots[i]; s.owner != o || s.older != before || table.index[s.key] != i {
				t.Fatalf("slot %d of owner %d is linked wrongly: %+v", i, o, s)
			}
			before = i
			n++
		}
		if n != l.count || before != l.newest {
			t.Fatalf("owner %d: %d entries in the list, %d counted", o, n, l.count)
		}
		total += n
	}
	if total != len(table.index) || total != len(table.slots) || total > table.capacity {
		t.Fatalf("%d entries in lists, %d in the index, %d slots, capacity %d", total, len(table.index), len(table.slots), table.capacity)
	}
}
