// Package placement decides which versions the endpoints of a failure domain should have loaded, and has them loaded.
// The plan is pure: it is computed from reports that are handed in. Each plan takes a small step towards the target and
// never unloads a version below what the loss of another failure domain needs. The executor of the domain's duty records
// each order before it sends it, so that a successor accounts for orders that may still arrive.
package placement
