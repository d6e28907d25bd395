package intake

import "testing"

// tableMemory lends the memory of a connection of a table.
type tableMemory struct {
	table *Table
	conn  *Conn
}

func (m tableMemory) Extend(bytes int64) bool { return m.table.Extend(m.conn, bytes) }
func (m tableMemory) Return(bytes int64) {
	m.table.Keep(m.conn, KindAnswer, max(0, m.conn.HeldOf(KindAnswer)-bytes), at(0))
}

// admitted returns the allowance of a new request of a group.
func admitted(tb *Table, group string) (*Conn, *Allowance) {
	c, _, _ := begin(tb, group, 1, at(0))
	tb.Admit(c, at(0))
	tb.Serve(c, at(0))
	return c, NewAllowance(tableMemory{tb, c})
}

// Guards against answers that exceed the budget, of which one group takes all, or that stay counted.
func TestAnswersStayWithinTheBudget(t *testing.T) {
	tb := newTable(32 * mb)
	var conns []*Conn
	held := map[string]int64{}
	for _, group := range []string{"crowd", "other"} {
		for range 50 {
			c, a := admitted(tb, group)
			conns = append(conns, c)
			for a.Use(64 << 10) {
				held[group] += 64 << 10
			}
			if used := tb.used(); used > tb.limits.Bodies {
				t.Fatalf("%d bytes used, %d allowed", used, tb.limits.Bodies)
			}
		}
	}
	if least := tb.limits.Bodies / 8; held["crowd"] < least || held["other"] < least {
		t.Errorf("answers hold %v, want at least %d of each group", held, least)
	}
	for _, c := range conns {
		leave(tb, c, at(0))
	}
	if tb.HeldBytes(KindAnswer) != 0 || len(tb.answers) != 0 {
		t.Errorf("%d bytes, groups %v after all have left", tb.HeldBytes(KindAnswer), tb.answers)
	}
}

// Guards against an answer that is refused in calm, beside a body that fills the budget.
func TestLoneAnswerIsGranted(t *testing.T) {
	tb := newTable(16 * mb)
	c, granted, _ := begin(tb, "t", 20*mb, at(0))
	tb.Serve(c, at(0))
	if !granted || !NewAllowance(tableMemory{tb, c}).Use(6*mb) {
		t.Error("the answer to the only request is refused")
	}
}

// Guards against memory that is not given back while the request goes on.
func TestReleasedMemoryIsReturned(t *testing.T) {
	tb := newTable(32 * mb)
	c, a := admitted(tb, "t")
	for range 100 {
		a.Use(1000)
	}
	a.Release(100 * 1000)
	if n := c.HeldOf(KindAnswer); n != 0 {
		t.Errorf("%d bytes are held after the release of all", n)
	}
	a.Use(100 << 10)
	leave(tb, c, at(0))
	if a.Use(100<<10) || tb.HeldBytes(KindAnswer) != 0 {
		t.Errorf("%d bytes are held for a connection that is closed", tb.HeldBytes(KindAnswer))
	}
	a.Release(100 << 10)
	if n := tb.HeldBytes(KindAnswer); n != 0 {
		t.Errorf("%d bytes are held after a release on a closed connection", n)
	}
}
