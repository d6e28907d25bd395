// Package httpengine is the network adapter of engine.Client. Engines speak the chat completions protocol over HTTP
// with server-sent events; each event's id is the number of tokens so far.
package httpengine
