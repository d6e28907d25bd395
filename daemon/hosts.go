package daemon

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
	"reflect"
	"slices"
	"strings"

	"github.com/bramleytrail/bramleytrail/hostlist"
)

// maxHostListBytes bounds a decompressed host list. A list of 1,210 hosts takes about 200 KB.
const maxHostListBytes = 16 << 20

// sameHosts reports whether two lists contain the same hosts, regardless of their order.
func sameHosts(a, b []hostlist.Host) bool { return reflect.DeepEqual(sortedByID(a), sortedByID(b)) }

func sortedByID(hosts []hostlist.Host) []hostlist.Host {
	return slices.SortedFunc(slices.Values(hosts), func(a, b hostlist.Host) int { return strings.Compare(a.ID, b.ID) })
}

// encodeHosts returns a list as gzip-compressed JSON. The result does not depend on the order of the hosts.
func encodeHosts(list hostlist.List) ([]byte, error) {
	list.Hosts = sortedByID(list.Hosts)
	var buf bytes.Buffer
	zw := gzip.NewWriter(&buf)
	if err := json.NewEncoder(zw).Encode(list); err != nil {
		return nil, fmt.Errorf("encode host list: %w", err)
	}
	if err := zw.Close(); err != nil {
		return nil, fmt.Errorf("encode host list: %w", err)
	}
	return buf.Bytes(), nil
}

func decodeHosts(body []byte) (hostlist.List, error) {
	var list hostlist.List
	zr, err := gzip.NewReader(bytes.NewReader(body))
	if err != nil {
		return list, fmt.Errorf("decode host list: %w", err)
	}
	if err := json.NewDecoder(io.LimitReader(zr, maxHostListBytes)).Decode(&list); err != nil {
		return list, fmt.Errorf("decode host list: %w", err)
	}
	return list, nil
}
