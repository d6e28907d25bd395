// Package observe provides a daemon's metrics, its log writer, and its records of requests in flight and recently
// finished.
package observe
