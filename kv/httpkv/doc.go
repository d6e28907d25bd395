// Package httpkv makes a kv.Store available over the network: a client and a server that exchange JSON over HTTP.
package httpkv
