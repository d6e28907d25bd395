// Package ledger keeps bills until they are in the platform's key-value service. Bills are collected in batches; each
// bill is copied to a daemon in another failure domain before the caller sees the end of its answer. Batches have names
// that make a repeated write harmless, and bills are merged by identity when they are read.
package ledger
