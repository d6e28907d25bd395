// Package observe holds a daemon's metrics and its record of recent requests.
package observe
