// Package httpengine implements engine.Client over HTTP. Engines serve the chat completions protocol with server-sent
// events; the id of each event is the number of tokens generated so far.
package httpengine
