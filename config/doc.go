// Package config holds the configuration revision in force. A revision is checked whole before it is used, and the
// holder's revision number only increases.
package config
