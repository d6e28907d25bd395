package ledger

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
	"sync"

	"github.com/vmihailenco/msgpack/v5"
)

// gzipMagic begins a compressed batch. No MessagePack array begins with it, so batches stored without compression can
// still be read.
var gzipMagic = []byte{0x1f, 0x8b}

// maxDecodedBytes bounds the decompression of a batch or a merged value.
const maxDecodedBytes = 64 << 20

const (
	// gzipFrameBytes is the size of header, trailer and final block of a gzip stream.
	gzipFrameBytes = 28
	// gzipBlockBytes is the least content of a block that compress/flate stores without compression, and
	// gzipBlockHeaderBytes is what it adds to it.
	gzipBlockBytes       = 16 << 10
	gzipBlockHeaderBytes = 5
)

// compressedBound returns an upper bound of the compressed size of n bytes that can't be compressed.
func compressedBound(n int) int {
	blocks := n/gzipBlockBytes + 1
	return n + gzipFrameBytes + blocks*gzipBlockHeaderBytes
}

// writers keeps compressors, whose tables take most of the time of a small batch.
var writers = sync.Pool{New: func() any { return gzip.NewWriter(nil) }}

// encodeBills returns the stored form of a batch: MessagePack, compressed, since the bills of a batch share most of their
// content. Uncompressed batches took most of a daemon's bytes to the key-value service.
func encodeBills(bills []Bill) ([]byte, error) {
	var buf bytes.Buffer
	zw := writers.Get().(*gzip.Writer)
	defer writers.Put(zw)
	zw.Reset(&buf)
	if err := msgpack.NewEncoder(zw).Encode(bills); err != nil {
		return nil, fmt.Errorf("encode bills: %w", err)
	}
	if err := zw.Close(); err != nil {
		return nil, fmt.Errorf("encode bills: %w", err)
	}
	return buf.Bytes(), nil
}

func decodeBills(data []byte) ([]Bill, error) {
	var r io.Reader = bytes.NewReader(data)
	if bytes.HasPrefix(data, gzipMagic) {
		zr, err := gzip.NewReader(r)
		if err != nil {
			return nil, fmt.Errorf("decode bills: %w", err)
		}
		r = io.LimitReader(zr, maxDecodedBytes)
	}
	bills, err := decodeList[Bill](msgpack.NewDecoder(r), maxDecodedBytes/boundOfBill)
	if err != nil {
		return nil, fmt.Errorf("decode bills: %w", err)
	}
	return bills, nil
}
