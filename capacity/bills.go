package capacity

import (
	"context"
	"fmt"
	"time"

	"github.com/bramleytrail/bramleytrail/local"
	"github.com/bramleytrail/bramleytrail/pause"
)

const (
	billTimeout  = "1h" // bills stay in memory
	billInterval = "5s" // bills are written
)

// measureBillWrites measures the bytes to and from the key-value service over the bills of one batch.
func (r *runner) measureBillWrites(ctx context.Context) error {
	f, err := r.settledFleet(ctx, fleetSpec{
		Daemons: 2, Endpoints: 10, Versions: 2, Teams: 1, Flags: []string{"--bill-interval", billInterval},
	})
	if err != nil {
		return err
	}
	defer f.abort()
	if err := f.timing(ctx, 1, 0); err != nil {
		return err
	}
	m := f.members[0]
	for _, n := range []int{200, 400, 800, 1600} {
		before, err := f.sample(ctx, f.members[:1])
		if err != nil {
			return err
		}
		if err := chat(ctx, m, n, callers); err != nil {
			return err
		}
		wait, cancel := context.WithTimeout(ctx, readyTimeout)
		err = local.Wait(wait, func() bool {
			values, err := metrics(ctx, m.operator)
			return err == nil && values["bramley_bills_held"] == 0
		})
		cancel()
		if err != nil {
			return err
		}
		if err := pause.For(ctx, time.Second); err != nil { // the reply is read
			return err
		}
		after, err := f.sample(ctx, f.members[:1])
		if err != nil {
			return err
		}
		bytes := bytesOfKind("store")(after[0]) - bytesOfKind("store")(before[0])
		r.point("bills, bytes to the key-value service", "bills", "bytes sent and received", float64(n), bytes)
	}
	return f.stop()
}

// measureBills measures the bytes of bills written, and memory over the number of bills held, by their owner and by the
// holder of their copies.
func (r *runner) measureBills(ctx context.Context) error {
	if err := r.measureBillWrites(ctx); err != nil {
		return err
	}
	return r.measureBillsHeld(ctx)
}

func (r *runner) measureBillsHeld(ctx context.Context) error {
	f, err := r.settledFleet(ctx, fleetSpec{
		Daemons: 2, Endpoints: 10, Versions: 2, Teams: 1, Flags: []string{"--bill-interval", billTimeout},
	})
	if err != nil {
		return err
	}
	defer f.abort()
	if err := f.timing(ctx, 1, 0); err != nil {
		return err
	}
	sent := 0
	for _, n := range []int{1000, 2000, 4000, 8000} {
		if err := chat(ctx, f.members[0], n-sent, callers); err != nil {
			return err
		}
		sent = n
		samples, err := f.sample(ctx, f.members)
		if err != nil {
			return err
		}
		for i, name := range []string{"bills, owner", "bills, holder of copies"} {
			held := samples[i].values["bramley_bills_held"] + samples[i].values["bramley_bill_copies_held"]
			if held != float64(n) {
				return fmt.Errorf("%s: %g bills are held after %d requests", name, held, n)
			}
			if err := r.memoryPoints(ctx, f, f.members[i:i+1], name+",", "bills held", held); err != nil {
				return err
			}
		}
		copied := prefixSum(samples[0].values, `bramley_control_bytes_total{kind="peer/copybills"`)
		r.point("bills, bytes of copies", "bills", "bytes sent and received", float64(n), copied)
	}
	return f.stop()
}
