// Package httpkv is the network adapter of kv.Store: a client and a server that speak HTTP with JSON.
package httpkv
