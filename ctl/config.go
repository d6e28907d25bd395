package ctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/user"
	"time"

	"github.com/bramleytrail/bramleytrail/config"
	"github.com/bramleytrail/bramleytrail/declare"
	"github.com/bramleytrail/bramleytrail/kv"
	"github.com/bramleytrail/bramleytrail/object"
	"github.com/bramleytrail/bramleytrail/result"
)

type dirArg struct {
	Dir string `positional-arg-name:"DIR" description:"directory with the declarations"`
}

type validateCommand struct {
	*app `no-flag:"true"`
	Args dirArg `positional-args:"yes" required:"yes"`
}

type validateOutput struct {
	OK       bool              `json:"ok"`
	Objects  int               `json:"objects"`
	Bytes    int               `json:"bytes"` // size of the published form
	Findings []declare.Finding `json:"findings"`
}

// Execute implements flags.Commander.
func (c *validateCommand) Execute([]string) error {
	set, findings, err := loadDeclarations(c.Args.Dir)
	if err != nil {
		return err
	}
	out := validateOutput{OK: len(findings) == 0, Objects: countObjects(set), Findings: findings}
	if out.OK {
		body, _, err := declare.Encode(set)
		if err != nil {
			return err
		}
		out.Bytes = len(body)
	}
	err = c.print(out, func(w io.Writer) {
		printFindings(w, findings)
		if out.OK {
			fmt.Fprintf(w, "%d objects are valid; the published form has %d bytes\n", out.Objects, out.Bytes)
		}
	})
	if err == nil && !out.OK {
		return &exitError{code: ExitFailed}
	}
	return err
}

func printFindings(w io.Writer, findings []declare.Finding) {
	for _, f := range findings {
		fmt.Fprintln(w, f)
	}
	if len(findings) > 0 {
		fmt.Fprintf(w, "%d findings\n", len(findings))
	}
}

// loadDeclarations reads the declarations in a directory and returns them with all findings of parsing and validation.
func loadDeclarations(dir string) (object.Set, []declare.Finding, error) {
	set, sources, findings, err := declare.Load(dir)
	if err != nil {
		return set, nil, err
	}
	return set, append(findings, declare.Check(set, sources)...), nil
}

func countObjects(s object.Set) int {
	return len(s.FailureDomains) + len(s.Services) + len(s.Models) + len(s.Versions) + len(s.Teams) + len(s.SessionPolicies) +
		len(s.Cascades) + len(s.Rollouts)
}

// loadValid returns the declarations in a directory. If they have findings, it prints these and fails with ExitFailed.
func (a *app) loadValid(dir string) (object.Set, error) {
	set, findings, err := loadDeclarations(dir)
	if err != nil {
		return set, err
	}
	if len(findings) > 0 {
		err := a.print(validateOutput{Objects: countObjects(set), Findings: findings}, func(w io.Writer) { printFindings(w, findings) })
		return set, errors.Join(err, &exitError{code: ExitFailed})
	}
	return set, nil
}

// currentRevision reads the configuration revision in force. It returns the revision, its decoded objects and the key-value
// store's revision of the entry, for a compare-and-swap. All are zero if nothing was published yet.
func currentRevision(ctx context.Context, store kv.Store) (config.Revision, object.Set, kv.Revision, error) {
	e, err := store.Get(ctx, config.Key)
	if errors.Is(err, kv.ErrNotFound) {
		return config.Revision{}, object.Set{}, kv.Revision{}, nil
	}
	if err != nil {
		return config.Revision{}, object.Set{}, kv.Revision{}, err
	}
	rev, err := config.UnmarshalRevision(e.Value)
	if err != nil {
		return rev, object.Set{}, kv.Revision{}, err
	}
	set, err := declare.Decode(rev.Body)
	return rev, set, e.Revision, err
}

// comparison holds the valid declarations of a directory and the revision in force.
type comparison struct {
	declared        object.Set
	store           kv.Store
	currentRevision config.Revision // in force; zero if nothing was published yet
	inForce         object.Set      // objects of currentRevision
	storeRevision   kv.Revision     // the key-value store's revision of the entry that holds currentRevision
}

// loadComparison loads a directory's declarations and reads the revision in force.
func (a *app) loadComparison(dir string) (cmp comparison, err error) {
	if cmp.declared, err = a.loadValid(dir); err != nil {
		return cmp, err
	}
	if cmp.store, err = a.store(); err != nil {
		return cmp, err
	}
	cmp.currentRevision, cmp.inForce, cmp.storeRevision, err = currentRevision(a.ctx, cmp.store)
	return cmp, err
}

type diffCommand struct {
	*app `no-flag:"true"`
	Args dirArg `positional-args:"yes" required:"yes"`
}

type diffOutput struct {
	Revision uint64           `json:"revision"`
	Changes  []declare.Change `json:"changes"`
}

// Execute implements flags.Commander.
func (c *diffCommand) Execute([]string) error {
	cmp, err := c.loadComparison(c.Args.Dir)
	if err != nil {
		return err
	}
	rev := cmp.currentRevision
	out := diffOutput{rev.Number, declare.Diff(cmp.inForce, cmp.declared)}
	return c.print(out, func(w io.Writer) {
		fmt.Fprintf(w, "against revision %d:\n", rev.Number)
		printChanges(w, out.Changes)
	})
}

func printChanges(w io.Writer, changes []declare.Change) {
	for _, ch := range changes {
		fmt.Fprintln(w, ch)
	}
	fmt.Fprintf(w, "%d changes\n", len(changes))
}

type publishCommand struct {
	*app    `no-flag:"true"`
	Base    *uint64  `long:"base" description:"last seen revision; the publication fails if another is in force (default: the one in force)"`
	Daemons []string `long:"daemon" description:"URL of a daemon's operator port; the publication is refused if the daemon has a newer revision than the key-value service, and succeeds once the daemon has the new one; may be repeated"`
	Args    dirArg   `positional-args:"yes" required:"yes"`
}

type publishOutput struct {
	Revision uint64           `json:"revision"`
	Digest   string           `json:"digest"`
	Changes  []declare.Change `json:"changes"`
	Conflict *conflictOutput  `json:"conflict,omitempty"`
}

type conflictOutput struct {
	Base   uint64           `json:"base"`
	Theirs []declare.Change `json:"theirs"` // from the base to the revision in force
	Mine   []declare.Change `json:"mine"`   // from the base to the directory
}

// historyPrefix is the prefix of the keys that keep all published revisions, so that a conflict report can show both operators'
// changes since the base.
const historyPrefix = "config-history/"

func historyKey(n uint64) string { return fmt.Sprintf("%s%012d", historyPrefix, n) }

// Execute implements flags.Commander.
func (c *publishCommand) Execute([]string) error {
	cmp, err := c.loadComparison(c.Args.Dir)
	if err != nil {
		return err
	}
	set, store, rev, inForce, storeRevision := cmp.declared, cmp.store, cmp.currentRevision, cmp.inForce, cmp.storeRevision
	if err := c.checkDaemons(rev); err != nil {
		return err
	}
	if c.Base != nil && *c.Base != rev.Number {
		return c.reportConflict(store, *c.Base, inForce, set)
	}
	next, err := newRevision(rev.Number+1, set)
	if err != nil {
		return err
	}
	if err := writeRevision(c.ctx, store, next, storeRevision); err != nil {
		if errors.Is(err, kv.ErrConflict) {
			_, latest, _, err := currentRevision(c.ctx, store)
			if err != nil {
				return err
			}
			return c.reportConflict(store, rev.Number, latest, set)
		}
		return err
	}
	if err := c.waitForDaemons(next); err != nil {
		return err
	}
	out := publishOutput{next.Number, next.Digest, declare.Diff(inForce, set), nil}
	return c.print(out, func(w io.Writer) {
		printChanges(w, out.Changes)
		fmt.Fprintf(w, "revision %d is published\n", next.Number)
	})
}

func newRevision(n uint64, set object.Set) (config.Revision, error) {
	body, digest, err := declare.Encode(set)
	if err != nil {
		return config.Revision{}, err
	}
	return config.Revision{Number: n, Digest: digest, Publisher: publisher(), Published: time.Now().UTC(), Body: body}, nil
}

func publisher() string {
	name := "unknown"
	if u, err := user.Current(); err == nil {
		name = u.Username
	}
	if host, err := os.Hostname(); err == nil {
		name += "@" + host
	}
	return name
}

// writeRevision stores a revision by a compare-and-swap with prev, the key-value store's revision of the entry. If the call
// fails, for example because its reply was lost, it reads the entry back: the write succeeded if the stored value is the written
// one.
func writeRevision(ctx context.Context, store kv.Store, rev config.Revision, prev kv.Revision) error {
	data, err := rev.Marshal()
	if err != nil {
		return err
	}
	_, err = store.CAS(ctx, config.Key, data, prev, 0)
	if err != nil && !errors.Is(err, kv.ErrTooLarge) {
		e, readErr := store.Get(ctx, config.Key)
		if readErr == nil && string(e.Value) == string(data) {
			err = nil
		}
	}
	if err != nil {
		return fmt.Errorf("publish revision %d: %w", rev.Number, err)
	}
	// The history is only needed to explain conflicts, so a failure here doesn't fail the publication.
	_, _ = store.CAS(ctx, historyKey(rev.Number), data, kv.Revision{}, 0)
	return nil
}

// reportConflict prints what was published since the base revision and what this directory changes, and fails with ExitConflict.
// If the history doesn't contain the base, it prints only how the directory differs from the revision in force. It changes
// neither the revision in force nor the directory, so no operator's changes are lost.
func (c *publishCommand) reportConflict(store kv.Store, base uint64, inForce, mine object.Set) error {
	out := conflictOutput{Base: base}
	baseSet, err := readHistory(c.ctx, store, base)
	if err != nil {
		out.Mine = declare.Diff(inForce, mine)
	} else {
		out.Theirs, out.Mine = declare.Diff(baseSet, inForce), declare.Diff(baseSet, mine)
	}
	printErr := c.print(publishOutput{Conflict: &out}, func(w io.Writer) {
		if err != nil {
			fmt.Fprintf(w, "revision %d is no longer in force and its content is not kept; this directory against the one in force:\n", base)
			printChanges(w, out.Mine)
			return
		}
		fmt.Fprintf(w, "published since revision %d:\n", base)
		printChanges(w, out.Theirs)
		fmt.Fprintf(w, "in this directory since revision %d:\n", base)
		printChanges(w, out.Mine)
	})
	if printErr != nil {
		return printErr
	}
	return &exitError{ExitConflict, result.Newf(result.ConfigConflict, "Merge the changes and publish again.")}
}

// readHistory returns the objects of published revision n, or none for n = 0. It fails with kv.ErrNotFound if the history doesn't
// contain the revision.
func readHistory(ctx context.Context, store kv.Store, n uint64) (object.Set, error) {
	if n == 0 {
		return object.Set{}, nil
	}
	e, err := store.Get(ctx, historyKey(n))
	if err != nil {
		return object.Set{}, err
	}
	rev, err := config.UnmarshalRevision(e.Value)
	if err != nil {
		return object.Set{}, err
	}
	return declare.Decode(rev.Body)
}

// checkDaemons fails with result.ConfigBehind if a daemon has a newer revision than the key-value store, or other content under
// the same number: the store has then lost writes. The daemons restore their revision in the store within seconds.
func (c *publishCommand) checkDaemons(stored config.Revision) error {
	for _, url := range c.Daemons {
		s, err := fetchState(c.ctx, url)
		if err != nil {
			return err
		}
		if s.Revision > stored.Number || s.Revision == stored.Number && s.Digest != stored.Digest {
			return result.Newf(result.ConfigBehind, "Daemon %s has revision %d, the service has %d or other content.", s.ID, s.Revision, stored.Number)
		}
	}
	return nil
}

// waitForDaemons polls the daemons until they have the published revision. It fails with result.ConfigConflict if a daemon has a
// newer one instead and so did not accept it: the key-value store had lost writes, or another operator has published since. It
// also fails when the command's timeout expires.
func (c *publishCommand) waitForDaemons(published config.Revision) error {
	for _, url := range c.Daemons {
		for {
			s, err := fetchState(c.ctx, url)
			if err != nil {
				return err
			}
			if s.Revision == published.Number && s.Digest == published.Digest {
				break
			}
			if (config.Revision{Number: s.Revision, Digest: s.Digest}).Newer(published) {
				return result.Newf(result.ConfigConflict, "Daemon %s has revision %d %.12s instead of %d %.12s.", s.ID, s.Revision, s.Digest,
					published.Number, published.Digest)
			}
			select {
			case <-c.ctx.Done():
				return fmt.Errorf("daemon %s has revision %d, not yet %d: %w", s.ID, s.Revision, published.Number, c.ctx.Err())
			case <-time.After(daemonPollInterval):
			}
		}
	}
	return nil
}

// daemonPollInterval is the time between reads of a daemon's state while a publication waits for the daemon.
const daemonPollInterval = 100 * time.Millisecond
