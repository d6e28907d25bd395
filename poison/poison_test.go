package poison

import (
	"fmt"
	"testing"
	"time"
)

var testStart = time.Unix(1_000_000, 0)

func crash(t *Table, fingerprint uint64, id int, now time.Time) {
	t.Add(Record{Fingerprint: fingerprint, Crash: fmt.Sprint(id)}, now)
}

// Guards against an honest request that is refused for good after crashes beside it, and a poison request that is tried too often.
func TestRefusedRequestIsTriedAgain(t *testing.T) {
	a, b := NewTable(), NewTable()
	now := testStart
	for i := range MaxCrashes {
		if ok, _, _ := a.Admit(1, now); !ok {
			t.Fatalf("refused after %d crashes", i)
		}
		crash(a, 1, i, now)
		crash(b, 1, i, now)
	}
	if ok, _, wait := a.Admit(1, now); ok || wait != firstTrial {
		t.Errorf("admitted %t, next trial in %v; want refused for %v", ok, wait, firstTrial)
	}
	now = now.Add(firstTrial)
	if ok, trial, _ := a.Admit(1, now); !ok || !trial {
		t.Errorf("admitted %t as a trial %t after %v", ok, trial, firstTrial)
	}
	b.Add(Record{Fingerprint: 1, Trial: true}, now)
	for name, table := range map[string]*Table{"this daemon": a, "another daemon": b} {
		if ok, _, _ := table.Admit(1, now.Add(time.Second)); ok {
			t.Errorf("a second trial at the same time at %s", name)
		}
	}
	crash(a, 1, MaxCrashes, now)
	if ok, _, _ := a.Admit(1, now.Add(2*firstTrial-time.Second)); ok {
		t.Error("the trial after one that crashed is not later")
	}
	for _, r := range a.ClearAnswered(1, now) {
		b.Add(r, now)
	}
	for name, table := range map[string]*Table{"this daemon": a, "another daemon": b} {
		if ok, _, _ := table.Admit(1, now); !ok {
			t.Errorf("refused at %s after a complete answer", name)
		}
	}
}

// Guards against content that many requests share, such as a lookup without a body, which is refused after enough crashes of endpoints
// although it is answered all the time.
func TestAnsweredContentIsNeverRefused(t *testing.T) {
	table := NewTable()
	now := testStart
	for i := range 10 * maxTotalCrashes {
		crash(table, 1, i, now)
		if ok, _, _ := table.Admit(1, now); !ok {
			t.Fatalf("refused at crash %d", i+1)
		}
		table.ClearAnswered(1, now)
		now = now.Add(time.Second)
	}
}

// Guards against records that count twice because they are sent several times.
func TestRepeatedRecordsCountOnce(t *testing.T) {
	table := NewTable()
	for range 5 {
		crash(table, 1, 1, testStart)
		crash(table, 1, 2, testStart)
	}
	if n := table.Crashes(1, testStart); n != 2 {
		t.Errorf("%d crashes, want 2", n)
	}
}
