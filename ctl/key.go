package ctl

import (
	"bufio"
	"crypto/rand"
	"errors"
	"fmt"
	"io"

	"github.com/bramleytrail/bramleytrail/config"
)

// errNoKey means that the first line of standard input is empty or missing.
var errNoKey = errors.New("no key on standard input")

type keyCommand struct {
	*app `no-flag:"true"`
	Hash bool `long:"hash" description:"hash the key on standard input instead of making one"`
}

type keyOutput struct {
	Key  string `json:"key,omitempty"` // only if this command generated it
	Hash string `json:"hash"`
}

// Execute implements flags.Commander.
func (c *keyCommand) Execute([]string) error {
	var out keyOutput
	if c.Hash {
		line := bufio.NewScanner(c.stdin)
		if !line.Scan() || line.Text() == "" {
			return &exitError{ExitUsage, errors.Join(errNoKey, line.Err())}
		}
		out.Hash = config.HashKey(line.Text())
	} else {
		out.Key = rand.Text()
		out.Hash = config.HashKey(out.Key)
	}
	return c.print(out, func(w io.Writer) {
		if out.Key != "" {
			fmt.Fprintf(w, "key:  %s\n", out.Key)
		}
		fmt.Fprintf(w, "hash: %s\n", out.Hash)
	})
}
