package bench

import "slices"

// cacheTokens is the number of prompt tokens that an engine keeps, about 17 sessions of the load.
const cacheTokens = 16_000

// prefixCache holds the prompts of the sessions used last. Engines without sessions in their load leave it empty.
type prefixCache struct {
	entries []cachedPrompt // the one used last at the end
	tokens  int64
}

type cachedPrompt struct {
	session uint64
	tokens  int64
}

// use returns the tokens of a session's prompt that are cached, and caches the prompt.
func (c *prefixCache) use(session uint64, prompt int64) int64 {
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
