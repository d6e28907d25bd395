// Package cascade decides whether the answer of a cheap model is good enough, or whether the request escalates to a
// larger model.
package cascade
