// Package config holds the configuration revision in force. A revision is validated as a whole before it is used, and
// the revision number in force never decreases.
package config
