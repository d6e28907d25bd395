// Package placement decides which versions the endpoints of a failure domain have loaded, and sends the orders that
// load and unload them. Plan is a pure function of load reports and demand. Each plan makes a small change towards the
// target and never unloads a version below the replicas that are needed after the loss of another failure domain. The
// holder of the domain's placement duty runs an Executor, which records each order before it sends it, so that the next
// holder accounts for orders that may still arrive.
package placement
