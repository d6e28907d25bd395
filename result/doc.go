// Package result defines the numbered result codes of bramleytrail and the typed error that carries one of them
// together with the answer to the question that a caller needs before it retries: did the request run?
package result
