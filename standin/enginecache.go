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
	cacheChunk     = 64 << 10 // bytes of a KV cache that are sent at a time
	maxOpaqueCache = 1 << 20  // bytes of an imported KV cache in another form
)

// sessionCache is the KV cache of a session for one version. It is exported as a line of JSON and zeros up to its size.
type sessionCache struct {
	Version string `json:"version"`
	Prompt  string `json:"prompt"`
	Size    int64  `json:"size"` // bytes after the line
	raw     []byte // an import in another form, which is exported as it is and never used
}

// covers returns the number of tokens of a prompt that the cache holds.
func (c sessionCache) covers(version, prompt string) int64 {
	if c.Version != version {
		return 0
	}
	n := 0
	for n < min(len(c.Prompt), len(prompt)) && c.Prompt[n] == prompt[n] {
		n++
	}
	return int64(n) / bytesPerToken
}

// CacheFault is what goes wrong with the exports and imports of an engine. The zero value is no fault.
type CacheFault struct {
	ExportStatus int   // status of every export, instead of the cache
	ImportStatus int   // status of every import, before its body is read
	StallAfter   int64 // bytes after which an export sends nothing more
	CutAfter     int64 // bytes after which an export's connection breaks
	HideSize     bool  // exports don't state their size
	CrashOnPut   bool  // the engine restarts at the end of an import
}

// SetCacheFault sets what goes wrong with exports and imports.
func (e *Engine) SetCacheFault(f CacheFault) { e.set(func() { e.cacheFail = f }) }

// Sessions returns the number of KV caches that the engine holds.
func (e *Engine) Sessions() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.sessions)
}

// keepCache keeps the KV cache of a generation that has begun. The caller holds the lock.
func (e *Engine) keepCache(g *generation) {
	if g.session != "" && e.boot == g.boot && e.sessions[g.session].Prompt != g.prompt {
		e.sessions[g.session] = sessionCache{Version: g.run.Version, Prompt: g.prompt, Size: g.input * e.spec.CacheBytes}
	}
}

func (e *Engine) exportCache(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	cache, ok := e.sessions[r.PathValue("id")]
	fault := e.cacheFail
	e.mu.Unlock()
	switch {
	case fault.ExportStatus != 0:
		http.Error(w, http.StatusText(fault.ExportStatus), fault.ExportStatus)
		return
	case !ok:
		http.NotFound(w, r)
		return
	}
	head := cache.raw
	if head == nil {
		head, _ = json.Marshal(cache) // strings and numbers always encode
		head = append(head, '\n')
	}
	if !fault.HideSize {
		w.Header().Set("Content-Length", strconv.FormatInt(int64(len(head))+cache.Size, 10))
	}
	if _, err := w.Write(head); err != nil {
		return // the client has left
	}
	e.sendZeros(w, r, cache.Size, fault)
}

// sendZeros sends n bytes at the engine's rate, until a fault stops it.
func (e *Engine) sendZeros(w http.ResponseWriter, r *http.Request, n int64, fault CacheFault) {
	chunk := make([]byte, cacheChunk)
	for sent := int64(0); sent < n; {
		if fault.CutAfter > 0 && sent >= fault.CutAfter {
			panic(http.ErrAbortHandler)
		}
		if fault.StallAfter > 0 && sent >= fault.StallAfter {
			flush(w)
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		part := chunk[:min(n-sent, cacheChunk)]
		if _, err := w.Write(part); err != nil || !e.pace(r, len(part)) {
			return
		}
		sent += int64(len(part))
	}
}

// pace waits as long as bytes take at the engine's rate. It returns false if the client has left.
func (e *Engine) pace(r *http.Request, bytes int) bool {
	if e.spec.CacheRate == 0 {
		return r.Context().Err() == nil
	}
	select {
	case <-time.After(time.Duration(float64(bytes) / float64(e.spec.CacheRate) * float64(time.Second))):
		return true
	case <-r.Context().Done():
		return false
	}
}

// importCache keeps a KV cache only after all of it has arrived.
func (e *Engine) importCache(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	fault, boot := e.cacheFail, e.boot
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
	if fault.CrashOnPut {
		e.crash(CauseForced)
		w.Header().Set(httpengine.HeaderBoot, e.bootID())
	} else if e.boot == boot {
		e.sessions[r.PathValue("id")] = cache
	}
	e.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

// readCache reads a KV cache at the engine's rate. One without the line of JSON is kept as it is.
func (e *Engine) readCache(r *http.Request) (sessionCache, error) {
	body := bufio.NewReaderSize(r.Body, cacheChunk)
	line, err := body.ReadBytes('\n')
	var cache sessionCache
	if err == io.EOF || err == nil && json.Unmarshal(line, &cache) != nil {
		rest, err := io.ReadAll(io.LimitReader(body, maxOpaqueCache))
		return sessionCache{raw: append(line, rest...)}, err
	}
	if err != nil {
		return cache, err
	}
	var n int64
	chunk := make([]byte, cacheChunk)
	for {
		read, err := body.Read(chunk)
		n += int64(read)
		if !e.pace(r, read) {
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
