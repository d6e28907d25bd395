// Package entry serves callers over HTTP through nbhttp and passes their requests to the pipeline.
package entry
