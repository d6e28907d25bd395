// Package memkv is an in-memory implementation of the platform's key-value store for tests, with fault injection and
// call counts.
package memkv
