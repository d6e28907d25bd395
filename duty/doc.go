// Package duty gives a named job to one daemon at a time by a lease in the key-value service, and stores the job's
// state so that a holder that was paused past its lease can't overwrite what a newer holder wrote.
package duty
