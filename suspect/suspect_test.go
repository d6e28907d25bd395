package suspect

import (
	"context"
	"errors"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bramleytrail/bramleytrail/kv"
	"github.com/bramleytrail/bramleytrail/kv/memkv"
	"github.com/bramleytrail/bramleytrail/poison"
)

const testKey = "suspect-parts"

// daemon is a table with its keeper.
type daemon struct {
	parts  *poison.PartTable
	keeper *Keeper
	trials int
}

func newDaemon(store kv.Store, rank int) *daemon {
	log := logrus.New()
	log.SetOutput(io.Discard)
	d := &daemon{parts: poison.NewPartTable()}
	d.keeper = New(Spec{
		Parts: d.parts, Store: store, Key: testKey, Log: log, Rank: func() int { return rank }, OnTrial: func() { d.trials++ },
		Entry: func(ctx context.Context) (kv.Entry, error) {
			e, err := store.Get(ctx, testKey)
			if errors.Is(err, kv.ErrNotFound) {
				return kv.Entry{}, nil
			}
			return e, err
		},
	})
	return d
}

// run runs a daemon's keeper until the test ends.
func (d *daemon) run(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { d.keeper.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
}

// see adds crashes that convict a part.
func (d *daemon) see(part uint64) {
	for i := range 6 {
		d.parts.Add(poison.Record{Crash: fmt.Sprint(part, "/", i), Request: uint64(i), Parts: []uint64{part}, Ran: 100 * time.Millisecond, Ago: time.Duration(6-i) * 500 * time.Millisecond}, time.Now())
	}
}

func (d *daemon) verdict(part uint64) poison.Verdict {
	v, _, _ := d.parts.Admit([]uint64{part}, time.Now())
	return v
}

// Guards against a daemon that starts after all crashes and does not know what the others refuse, and against one that starts after a part
// was found sound and refuses it.
func TestLaterDaemonKnowsRefusedParts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memkv.New()
		first := newDaemon(store, 0)
		first.run(t)
		first.see(9)
		time.Sleep(2 * time.Second)
		second := newDaemon(store, 1)
		second.run(t)
		synctest.Wait()
		if v := second.verdict(9); v != poison.PartsRefused {
			t.Errorf("verdict %d at a later daemon, want refused", v)
		}
		second.parts.MarkSound(0, []uint64{9}, time.Now())
		time.Sleep(5 * time.Second)
		third := newDaemon(store, 2)
		third.run(t)
		synctest.Wait()
		if v := third.verdict(9); v != poison.PartsAllowed {
			t.Errorf("verdict %d at a daemon that started after a complete answer, want allowed", v)
		}
	})
}

// Guards against more trials than all daemons together may make, at the same moment or one after the other, and against trials that were not
// counted because the store did not answer.
func TestDaemonsShareTrials(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memkv.New()
		daemons := []*daemon{newDaemon(store, 0), newDaemon(store, 1), newDaemon(store, 2)}
		for _, d := range daemons {
			d.see(9)
			d.run(t)
		}
		time.Sleep(5 * time.Second)
		granted := 0
		for range 10 {
			results := make(chan bool, len(daemons))
			for _, d := range daemons {
				go func() { results <- d.keeper.Grant(t.Context(), poison.RefusedParts{IDs: []uint64{9}}) }()
			}
			for range daemons {
				if <-results {
					granted++
				}
			}
			time.Sleep(time.Minute)
		}
		if granted != poison.MaxPartTrials {
			t.Errorf("%d trials granted, want %d", granted, poison.MaxPartTrials)
		}
	})
}

// Guards against an entry that can't be read and keeps daemons from refusing a part.
func TestUnreadableEntryIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memkv.New()
		if _, err := store.CAS(t.Context(), testKey, []byte("{"), kv.Revision{}, 0); err != nil {
			t.Fatal(err)
		}
		d := newDaemon(store, 0)
		d.run(t)
		d.see(9)
		time.Sleep(3 * time.Second)
		e, err := store.Get(t.Context(), testKey)
		if err != nil {
			t.Fatal(err)
		}
		sets, err := decode(e.Value, time.Now())
		if err != nil || len(sets) != 1 || d.verdict(9) != poison.PartsRefused {
			t.Errorf("%v, %v, verdict %d", sets, err, d.verdict(9))
		}
	})
}

// failingWrites is a store whose writes fail.
type failingWrites struct{ kv.Store }

func (failingWrites) CAS(context.Context, string, []byte, kv.Revision, kv.LeaseID) (kv.Revision, error) {
	return kv.Revision{}, kv.ErrUnavailable
}

// Guards against a trial that was not granted and counts at the daemon that asked for it.
func TestFailedGrantCountsNoTrial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memkv.New()
		first := newDaemon(store, 0)
		first.run(t)
		first.see(9)
		time.Sleep(3 * time.Second)
		second := newDaemon(failingWrites{store}, 1) // reads the entry only when it asks for the trial
		if second.keeper.Grant(t.Context(), poison.RefusedParts{IDs: []uint64{9}}) {
			t.Error("a trial was granted that the store does not count")
		}
		second.parts.Add(poison.Record{Crash: "c", Request: 7, Parts: []uint64{9}}, time.Now()) // a review follows
		second.parts.Conclude(time.Now())
		if sets := second.parts.Refused(); len(sets) != 1 || sets[0].Trials != 0 {
			t.Errorf("refused %v, want no trial", sets)
		}
	})
}

// Guards against refused parts that are allowed again because the store was restored from a backup without them, and against daemons that
// write them again for ever although one has found them sound.
func TestRefusedPartsSurviveRestore(t *testing.T) {
	for _, sound := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			store := memkv.New()
			backup := store.Snapshot()
			daemons := []*daemon{newDaemon(store, 0), newDaemon(store, 1)}
			era := uint64(0)
			for _, d := range daemons {
				d.keeper.spec.Entry = func(ctx context.Context) (kv.Entry, error) {
					e, err := store.Get(ctx, testKey)
					if errors.Is(err, kv.ErrNotFound) {
						return kv.Entry{Revision: kv.Revision{Era: era}}, nil
					}
					return e, err
				}
				d.run(t)
			}
			daemons[0].see(9)
			time.Sleep(2 * time.Second)
			e, err := store.Get(t.Context(), testKey)
			if err != nil {
				t.Fatal(err)
			}
			daemons[1].keeper.Apply(e) // as its view does
			store.RestoreInNewEra(backup)
			era = 1
			if sound {
				daemons[1].parts.MarkSound(0, []uint64{9}, time.Now())
			}
			for _, d := range daemons {
				d.keeper.Apply(kv.Entry{Revision: kv.Revision{Era: era}})
				if v := d.verdict(9); v != poison.PartsRefused && !sound {
					t.Errorf("verdict %d after the restore, want refused", v)
				}
			}
			time.Sleep(20 * time.Second)
			writes := store.Faults.Counts()[memkv.CallCAS]
			time.Sleep(20 * time.Second)
			if n := store.Faults.Counts()[memkv.CallCAS]; n > writes || writes > 5 {
				t.Errorf("%d writes, then %d more", writes, n-writes)
			}
			later := newDaemon(store, 2)
			later.run(t)
			synctest.Wait()
			if v := later.verdict(9); (v == poison.PartsRefused) == sound {
				t.Errorf("verdict %d at a later daemon, parts found sound: %t", v, sound)
			}
		})
	}
}
