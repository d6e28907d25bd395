// Package cascade decides whether the answer of a cheap model is doubtful, so that the request climbs to the next model.
package cascade
