// Package memkv is an in-process fake of the platform's key-value service with fault injection and call counts.
package memkv
