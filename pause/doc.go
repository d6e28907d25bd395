// Package pause waits for a time, or until a context ends.
package pause
