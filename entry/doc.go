// Package entry is the HTTP server for callers. It passes their requests to the pipeline. Connections are served by nbhttp, or
// by net/http where nbhttp falls short: with TLS, on custom listeners and for routed services.
package entry
