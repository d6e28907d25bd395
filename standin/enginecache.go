package standin

import (
	"bufio"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/bramleytrail/bramleytrail/engine/httpengine"
)

const (
	cacheChunkBytes     = 64 << 10 // size of a read or write of a KV cache
	maxOpaqueCacheBytes = 1 << 20  // limit of an imported KV cache that no Engine exported
)

// sessionCache is the KV cache of a session for one version. It is exported as a line of JSON followed by Size zero bytes.
type sessionCache struct {
	Version string `json:"version"`
	Prompt  string `json:"prompt"`
	Size    int64  `json:"size"` // bytes after the line
	opaque  []byte // an import that no Engine exported; it is exported unchanged and not used for answers
}

// cachedTokens returns the number of tokens of a prompt that the cache holds for a version.
func (c sessionCache) cachedTokens(version, prompt string) int64 {
	if c.Version != version {
		return 0
	}
	n := 0
	for n < min(len(c.Prompt), len(prompt)) && c.Prompt[n] == prompt[n] {
		n++
	}
	return int64(n) / bytesPerToken
}

// CacheFault is a fault of an engine's KV cache exports and imports. The zero value is no fault.
type CacheFault struct {
	ExportStatus  int   // if not 0, every export replies with this status instead of the cache
	ImportStatus  int   // if not 0, every import replies with this status before its body is read
	StallAfter    int64 // if not 0, an export sends nothing after this number of bytes and keeps its connection open
	CutAfter      int64 // if not 0, an export drops its connection after this number of bytes
	OmitSize      bool  // exports have no Content-Length header
	CrashOnImport bool  // the engine crashes at the end of an import, before the reply
}

// SetCacheFault sets the fault of exports and imports that start from now on.
func (e *Engine) SetCacheFault(f CacheFault) { e.update(func() { e.cacheFault = f }) }

// CachedSessions returns the number of sessions whose KV cache the engine holds.
func (e *Engine) CachedSessions() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.sessions)
}

// storeCache stores the KV cache of a generation that has generated a token. The caller holds the lock.
func (e *Engine) storeCache(g *generation) {
	if g.session != "" && e.boot == g.boot && e.sessions[g.session].Prompt != g.prompt {
		e.sessions[g.session] = sessionCache{Version: g.run.Version, Prompt: g.prompt, Size: g.promptTokens * e.spec.CacheBytesPerToken}
	}
}

func (e *Engine) serveCacheExport(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	cache, ok := e.sessions[r.PathValue("id")]
	fault := e.cacheFault
	e.mu.Unlock()
	switch {
	case fault.ExportStatus != 0:
		http.Error(w, http.StatusText(fault.ExportStatus), fault.ExportStatus)
		return
	case !ok:
		http.NotFound(w, r)
		return
	}
	head := cache.opaque
	if head == nil {
		head, _ = json.Marshal(cache) // strings and numbers always encode
		head = append(head, '\n')
	}
	if !fault.OmitSize {
		w.Header().Set("Content-Length", strconv.FormatInt(int64(len(head))+cache.Size, 10))
	}
	if _, err := w.Write(head); err != nil {
		return // the client has left
	}
	e.sendZeros(w, r, cache.Size, fault)
}

// sendZeros sends n zero bytes at the engine's rate, or fewer if a fault is due or the client leaves.
func (e *Engine) sendZeros(w http.ResponseWriter, r *http.Request, n int64, fault CacheFault) {
	chunk := make([]byte, cacheChunkBytes)
	for sent := int64(0); sent < n; {
		if fault.CutAfter > 0 && sent >= fault.CutAfter {
			panic(http.ErrAbortHandler)
		}
		if fault.StallAfter > 0 && sent >= fault.StallAfter {
			flush(w)
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		part := chunk[:min(n-sent, cacheChunkBytes)]
		if _, err := w.Write(part); err != nil || !e.throttle(r, len(part)) {
			return
		}
		sent += int64(len(part))
	}
}

// throttle waits as long as a transfer of this number of bytes takes at the engine's rate. It returns false if the client has
// left.
func (e *Engine) throttle(r *http.Request, bytes int) bool {
	if e.spec.CacheBytesPerSecond == 0 {
		return r.Context().Err() == nil
	}
	select {
	case <-time.After(time.Duration(float64(bytes) / float64(e.spec.CacheBytesPerSecond) * float64(time.Second))):
		return true
	case <-r.Context().Done():
		return false
	}
}

// serveCacheImport stores a KV cache only after all of it has arrived and if the engine hasn't crashed since the request began.
func (e *Engine) serveCacheImport(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	fault, boot := e.cacheFault, e.boot
	e.mu.Unlock()
	if fault.ImportStatus != 0 {
		http.Error(w, http.StatusText(fault.ImportStatus), fault.ImportStatus)
		return
	}
	cache, err := e.readCache(r)
	if err != nil {
		http.Error(w, "incomplete KV cache", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	if fault.CrashOnImport {
		e.crash(CauseForced)
		w.Header().Set(httpengine.HeaderBoot, e.bootID())
	} else if e.boot == boot {
		e.sessions[r.PathValue("id")] = cache
	}
	e.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

// readCache reads a KV cache at the engine's rate. Without a first line of JSON it keeps the body as an opaque cache. It returns
// io.ErrUnexpectedEOF if the body is shorter or longer than the cache's size.
func (e *Engine) readCache(r *http.Request) (sessionCache, error) {
	body := bufio.NewReaderSize(r.Body, cacheChunkBytes)
	line, err := body.ReadBytes('\n')
	var cache sessionCache
	if err == io.EOF || err == nil && json.Unmarshal(line, &cache) != nil {
		rest, err := io.ReadAll(io.LimitReader(body, maxOpaqueCacheBytes))
		return sessionCache{opaque: append(line, rest...)}, err
	}
	if err != nil {
		return cache, err
	}
	var n int64
	chunk := make([]byte, cacheChunkBytes)
	for {
		read, err := body.Read(chunk)
		n += int64(read)
		if !e.throttle(r, read) {
			return cache, r.Context().Err()
		}
		if err == io.EOF && n == cache.Size {
			return cache, nil
		}
		if err != nil {
			return cache, io.ErrUnexpectedEOF
		}
	}
}
