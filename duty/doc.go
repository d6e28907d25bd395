// Package duty elects one daemon at a time to do a named job, using a lease in the key-value store. It also stores the
// job's state so that a holder that was paused past the end of its lease can't overwrite what a newer holder wrote.
package duty
