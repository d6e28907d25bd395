package capacity

import (
	"context"
	"fmt"
	"time"

	"github.com/bramleytrail/bramleytrail/local"
	"github.com/bramleytrail/bramleytrail/pause"
)

const (
	heldBillInterval    = "1h" // longer than a run, so that bills stay in memory
	writtenBillInterval = "5s" // short enough that bills are written during a run
)

// measureBillWrites measures the bytes sent to and received from the key-value store as a function of the number of bills
// written in one batch.
func (r *runner) measureBillWrites(ctx context.Context) error {
	f, err := r.settledFleet(ctx, fleetSpec{
		Daemons: 2, Endpoints: 10, Versions: 2, Teams: 1, Flags: []string{"--bill-interval", writtenBillInterval},
	})
	if err != nil {
		return err
	}
	defer f.abort()
	if err := f.setTiming(ctx, 1, 0); err != nil {
		return err
	}
	m := f.members[0]
	for _, n := range []int{200, 400, 800, 1600} {
		before, err := f.readSamples(ctx, f.members[:1])
		if err != nil {
			return err
		}
		if err := sendChats(ctx, m, n, concurrentCallers); err != nil {
			return err
		}
		wait, cancel := context.WithTimeout(ctx, readyTimeout)
		err = local.Wait(wait, func() bool {
			values, err := readMetrics(ctx, m.operatorAddr)
			return err == nil && values["bramley_bills_held"] == 0
		})
		cancel()
		if err != nil {
			return err
		}
		if err := pause.For(ctx, time.Second); err != nil { // until the daemon has read the store's response
			return err
		}
		after, err := f.readSamples(ctx, f.members[:1])
		if err != nil {
			return err
		}
		bytes := controlBytesOfKind("store")(after[0]) - controlBytesOfKind("store")(before[0])
		r.addPoint("bills, bytes to the key-value service", "bills", "bytes sent and received", float64(n), bytes)
	}
	return f.stop()
}

// measureBills measures the cost of writing bills and of holding them in memory.
func (r *runner) measureBills(ctx context.Context) error {
	if err := r.measureBillWrites(ctx); err != nil {
		return err
	}
	return r.measureBillsHeld(ctx)
}

// measureBillsHeld measures memory as a function of the number of bills held, at the daemon that owns them and at the one
// that holds their copies, and the bytes of the copies.
func (r *runner) measureBillsHeld(ctx context.Context) error {
	f, err := r.settledFleet(ctx, fleetSpec{
		Daemons: 2, Endpoints: 10, Versions: 2, Teams: 1, Flags: []string{"--bill-interval", heldBillInterval},
	})
	if err != nil {
		return err
	}
	defer f.abort()
	if err := f.setTiming(ctx, 1, 0); err != nil {
		return err
	}
	sent := 0
	for _, n := range []int{1000, 2000, 4000, 8000} {
		if err := sendChats(ctx, f.members[0], n-sent, concurrentCallers); err != nil {
			return err
		}
		sent = n
		samples, err := f.readSamples(ctx, f.members)
		if err != nil {
			return err
		}
		for i, name := range []string{"bills, owner", "bills, holder of copies"} {
			held := samples[i].metrics["bramley_bills_held"] + samples[i].metrics["bramley_bill_copies_held"]
			if held != float64(n) {
				return fmt.Errorf("%s: daemon holds %g bills after %d requests", name, held, n)
			}
			if err := r.addMemoryPoints(ctx, f, f.members[i:i+1], name+",", "bills held", held); err != nil {
				return err
			}
		}
		copied := sumByPrefix(samples[0].metrics, `bramley_control_bytes_total{kind="peer/copybills"`)
		r.addPoint("bills, bytes of copies", "bills", "bytes sent and received", float64(n), copied)
	}
	return f.stop()
}
