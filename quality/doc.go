// Package quality estimates the expected rating of each version, and of each cascade as a whole, for each kind of
// request from ratings that arrive late and for some requests only. The estimates are a small mergeable summary.
package quality
