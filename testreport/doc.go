// Package testreport condenses the events of `go test -json` for the log of a CI run: the result of each package as soon as it
// ends, the complete output of each failed test, and at the end a list of all failed tests with the first lines of their output.
package testreport
