// Package testreport reduces the events of `go test -json` to what a reader of a CI run needs: the result of each package as
// it ends, the whole output of a failed test, and at the very end the failed tests once more with the start of their messages.
package testreport
