// Package result defines the numbered result codes of bramleytrail, and an error type that carries a code and whether
// the request ran, which a caller must know before it retries.
package result
