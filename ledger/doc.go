// Package ledger buffers bills until they are written to the platform's key-value store. Bills are written in batches,
// and each bill is copied to a daemon in another failure domain before the caller sees the end of its answer. The key
// of a batch makes writes idempotent, and bills are deduplicated by identity when they are read.
package ledger
