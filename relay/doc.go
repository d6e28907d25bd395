// Package relay is the sixth stage: it passes an answer on to the caller. A caller that reads slowly blocks the write,
// so that no more of the answer is read from the endpoint and the memory held for the stream stays fixed.
package relay
