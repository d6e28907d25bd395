package ledger

import (
	"context"
	"errors"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/bramleytrail/bramleytrail/kv"
)

var errListTooLong = errors.New("list has more elements than fit into a stored value")

// decodeList decodes a list of up to limit elements, element by element. The msgpack library allocates the stated
// length at once, which would crash the process if a damaged value states 4 billion elements.
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
	*c, err = decodeList[Call](dec, maxBatchBytes/maxCallOverhead)
	return err
}

// WriteBatch stores a batch under its key. If the key exists, because an earlier write took effect or a daemon that
// holds copies wrote the batch, the bills that the stored value lacks are written under a key of the writer's own. A
// stored value that can't be decoded counts as empty. The write is idempotent and may be retried after an error.
func WriteBatch(ctx context.Context, store kv.Store, id BatchID, bills []Bill, writer string) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	key := id.Key()
	for {
		data, err := encodeBills(bills)
		if err != nil {
			return err
		}
		_, err = store.CAS(ctx, key, data, kv.Revision{}, 0)
		if !errors.Is(err, kv.ErrConflict) {
			return err
		}
		stored, err := store.Get(ctx, key)
		if err != nil {
			return err
		}
		have, _ := decodeBills(stored.Value) // Read reports a damaged value
		if bills = missing(bills, have); len(bills) == 0 {
			return nil
		}
		key += "." + writer
	}
}

// missing returns the bills of want that are not in have. Bills of one request with different outcomes count as
// different bills, because Merge needs both.
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

// StoredBills is the content of all batches and merged values in the key-value store.
type StoredBills struct {
	Bills   []Bill   // merged by identity
	Batches int      // batches and merged values read
	Damaged []string // keys of values that can't be decoded
}

// Read returns all stored bills, merged by identity. If some values can't be decoded, it returns the bills of the
// others and an error with the keys of the damaged values.
func Read(ctx context.Context, store kv.Store) ([]Bill, error) {
	s, err := Inspect(ctx, store)
	if err == nil && len(s.Damaged) > 0 {
		err = fmt.Errorf("read bills: values with damaged content: %q", s.Damaged)
	}
	return s.Bills, err
}

// Inspect reads all stored bills. Values that can't be decoded are listed in the result and are no error.
func Inspect(ctx context.Context, store kv.Store) (StoredBills, error) {
	var out StoredBills
	var all []Bill
	for _, prefix := range []string{Prefix, MergedPrefix} { // batches first, see MergedPrefix
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
