package bench

import "slices"

// cacheTokens is the capacity of an engine's prefix cache in prompt tokens: about 17 sessions of the load.
const cacheTokens = 16_000

// prefixCache is an LRU cache of the sessions' prompts. It stays empty under a load without sessions.
type prefixCache struct {
	entries []cachedPrompt // least recently used first
	tokens  int64
}

type cachedPrompt struct {
	session uint64
	tokens  int64
}

// lookupAndStore returns how many tokens of a session's prompt are cached, and stores the whole prompt. Session 0 means no
// session.
func (c *prefixCache) lookupAndStore(session uint64, prompt int64) int64 {
	if session == 0 {
		return 0
	}
	var cached int64
	if i := slices.IndexFunc(c.entries, func(e cachedPrompt) bool { return e.session == session }); i >= 0 {
		cached = c.entries[i].tokens
		c.tokens -= cached
		c.entries = slices.Delete(c.entries, i, i+1)
	}
	c.entries = append(c.entries, cachedPrompt{session, prompt})
	c.tokens += prompt
	for c.tokens > cacheTokens && len(c.entries) > 1 {
		c.tokens -= c.entries[0].tokens
		c.entries = slices.Delete(c.entries, 0, 1)
	}
	return min(cached, prompt)
}
