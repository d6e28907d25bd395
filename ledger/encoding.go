package ledger

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
	"sync"

	"github.com/vmihailenco/msgpack/v5"
)

// gzipMagic is the start of a compressed batch. No MessagePack array starts with these bytes, so batches that were
// stored without compression can still be read.
var gzipMagic = []byte{0x1f, 0x8b}

// maxDecodedBytes limits the decompressed size of a batch or a merged value.
const maxDecodedBytes = 64 << 20

const (
	// gzipFrameBytes is the total size of the header, the trailer and the final block of a gzip stream.
	gzipFrameBytes = 28
	// gzipMinBlockBytes is the smallest content of a block that compress/flate stores without compression, and
	// gzipBlockHeaderBytes is the overhead of such a block.
	gzipMinBlockBytes    = 16 << 10
	gzipBlockHeaderBytes = 5
)

// maxCompressedBytes returns an upper bound of the compressed size of n bytes, which is reached by incompressible data.
func maxCompressedBytes(n int) int {
	blocks := n/gzipMinBlockBytes + 1
	return n + gzipFrameBytes + blocks*gzipBlockHeaderBytes
}

// gzipWriters reuses compressors, because setting up their tables takes most of the encoding time of a small batch.
var gzipWriters = sync.Pool{New: func() any { return gzip.NewWriter(nil) }}

// encodeBills returns the stored form of a batch, which is gzip-compressed MessagePack. The bills of a batch share most
// of their content; without compression, batches made up most of the bytes that a daemon sent to the key-value store.
func encodeBills(bills []Bill) ([]byte, error) {
	var buf bytes.Buffer
	zw := gzipWriters.Get().(*gzip.Writer)
	defer gzipWriters.Put(zw)
	zw.Reset(&buf)
	if err := msgpack.NewEncoder(zw).Encode(bills); err != nil {
		return nil, fmt.Errorf("encode bills: %w", err)
	}
	if err := zw.Close(); err != nil {
		return nil, fmt.Errorf("encode bills: %w", err)
	}
	return buf.Bytes(), nil
}

// decodeBills decodes a stored batch or merged value, compressed or not.
func decodeBills(data []byte) ([]Bill, error) {
	var r io.Reader = bytes.NewReader(data)
	if bytes.HasPrefix(data, gzipMagic) {
		zr, err := gzip.NewReader(r)
		if err != nil {
			return nil, fmt.Errorf("decode bills: %w", err)
		}
		r = io.LimitReader(zr, maxDecodedBytes)
	}
	bills, err := decodeList[Bill](msgpack.NewDecoder(r), maxDecodedBytes/maxBillOverhead)
	if err != nil {
		return nil, fmt.Errorf("decode bills: %w", err)
	}
	return bills, nil
}
