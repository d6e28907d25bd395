// Package quality estimates the expected rating of each version, and of each cascade as a whole, for each kind of
// request. Ratings arrive late and for only some of the requests. The state of the estimates is a small summary, and
// summaries of disjoint ratings can be merged.
package quality
