package declare

import (
	"bytes"
	"compress/gzip"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"

	"github.com/bramleytrail/bramleytrail/object"
	"github.com/bramleytrail/bramleytrail/result"
)

// MaxEncodedBytes is the largest size of a published form: the key-value store's value limit of 1 MiB, less 4 KiB for
// the revision header.
const MaxEncodedBytes = 1<<20 - 4<<10

// maxDecodedBytes bounds the decompressed size of a published form.
const maxDecodedBytes = 64 << 20

// Encode returns the compressed published form of set and its digest. Equal sets have equal encodings. It fails with
// result.ConfigTooLarge if the form exceeds MaxEncodedBytes.
func Encode(set object.Set) (body []byte, digest string, err error) {
	Sort(&set)
	plain, err := json.Marshal(set)
	if err != nil {
		return nil, "", fmt.Errorf("encode configuration: %w", err)
	}
	var buf bytes.Buffer
	zw, err := gzip.NewWriterLevel(&buf, gzip.BestCompression)
	if err != nil {
		return nil, "", fmt.Errorf("encode configuration: %w", err)
	}
	if _, err := zw.Write(plain); err != nil {
		return nil, "", fmt.Errorf("encode configuration: %w", err)
	}
	if err := zw.Close(); err != nil {
		return nil, "", fmt.Errorf("encode configuration: %w", err)
	}
	if buf.Len() > MaxEncodedBytes {
		return nil, "", result.Newf(result.ConfigTooLarge, "The compressed set has %d bytes, the limit is %d.", buf.Len(), MaxEncodedBytes)
	}
	return buf.Bytes(), Digest(buf.Bytes()), nil
}

// Digest returns the hex SHA-256 of a published form.
func Digest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// Decode returns the set in a published form. It does not validate the set.
func Decode(body []byte) (object.Set, error) {
	var set object.Set
	zr, err := gzip.NewReader(bytes.NewReader(body))
	if err != nil {
		return set, fmt.Errorf("decode configuration: %w", err)
	}
	plain, err := io.ReadAll(io.LimitReader(zr, maxDecodedBytes+1))
	if err != nil {
		return set, fmt.Errorf("decode configuration: %w", err)
	}
	if len(plain) > maxDecodedBytes {
		return set, fmt.Errorf("decode configuration: more than %d bytes", maxDecodedBytes)
	}
	dec := json.NewDecoder(bytes.NewReader(plain))
	if err := dec.Decode(&set); err != nil {
		return set, fmt.Errorf("decode configuration: %w", err)
	}
	return set, nil
}
