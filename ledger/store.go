package ledger

import (
	"context"
	"errors"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/bramleytrail/bramleytrail/kv"
)

var errListTooLong = errors.New("list exceeds the size of a batch")

// decodeList decodes a list of up to limit elements one by one. The library allocates the stated length at once, which
// ends the process if a damaged value states 4 billion elements.
func decodeList[T any](dec *msgpack.Decoder, limit int) ([]T, error) {
	n, err := dec.DecodeArrayLen()
	if err != nil || n <= 0 {
		return nil, err
	}
	if n > limit {
		return nil, errListTooLong
	}
	var out []T
	for range n {
		var v T
		if err := dec.Decode(&v); err != nil {
			return nil, err
		}
		out = append(out, v)
	}
	return out, nil
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (c *Calls) DecodeMsgpack(dec *msgpack.Decoder) (err error) {
	*c, err = decodeList[Call](dec, maxBatchBytes/boundOfCall)
	return err
}

// WriteBatch stores a batch under its name. If the name is taken, because an earlier write took effect or the holder of
// the copies wrote the batch, the bills that it lacks go to a name of the writer's own. A stored value that can't be
// decoded counts as empty.
func WriteBatch(ctx context.Context, store kv.Store, id BatchID, bills []Bill, writer string) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	key := id.Key()
	for {
		data, err := encodeBills(bills)
		if err != nil {
			return err
		}
		_, err = store.CAS(ctx, key, data, 0, 0)
		if !errors.Is(err, kv.ErrConflict) {
			return err
		}
		stored, err := store.Get(ctx, key)
		if err != nil {
			return err
		}
		have, _ := decodeBills(stored.Value) // a damaged value is reported by Read
		if bills = missing(bills, have); len(bills) == 0 {
			return nil
		}
		key += "." + writer
	}
}

// missing returns the bills of want that are not in have. Bills of one request that differ in their outcome are different
// ones, and Merge needs both.
func missing(want, have []Bill) []Bill {
	seen := make(map[billKey]bool, len(have))
	for i := range have {
		seen[have[i].key()] = true
	}
	var out []Bill
	for i := range want {
		if !seen[want[i].key()] {
			out = append(out, want[i])
		}
	}
	return out
}

// Stored is the content of the key-value service's bill records.
type Stored struct {
	Bills   []Bill   // merged by identity
	Batches int      // records read
	Damaged []string // keys of records that can't be decoded
}

// Read returns all stored bills, merged by identity. If records are damaged, it returns the others and an error.
func Read(ctx context.Context, store kv.Store) ([]Bill, error) {
	s, err := Inspect(ctx, store)
	if err == nil && len(s.Damaged) > 0 {
		err = fmt.Errorf("bills can't be decoded: %q", s.Damaged)
	}
	return s.Bills, err
}

// Inspect reads all stored bills.
func Inspect(ctx context.Context, store kv.Store) (Stored, error) {
	var out Stored
	var all []Bill
	for _, prefix := range []string{Prefix, MergedPrefix} { // in this order, see MergedPrefix
		for e, err := range kv.All(ctx, store, prefix) {
			if err != nil {
				return out, err
			}
			bills, err := decodeBills(e.Value)
			if err != nil {
				out.Damaged = append(out.Damaged, e.Key)
				continue
			}
			out.Batches++
			all = append(all, bills...)
		}
	}
	out.Bills = Merge(all)
	return out, nil
}
