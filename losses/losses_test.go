package losses

import (
	"strings"
	"testing"
)

// Guards against a wrong cause for a late answer, against answers in time that count as late, and against lines that are not
// log lines.
func TestReport(t *testing.T) {
	const route = `"route":"r","target_ms":1000,"max_gap_ms":500`
	for _, tc := range []struct {
		name, log string
		late      map[Cause]int
		failed    map[string]int
	}{
		{"in time", `{"msg":"attempt","request":"1","ms":300}
{"msg":"request answered","request":"1","first_ms":300,"gap_ms":400,` + route + `}`, nil, nil},
		{"pause", `{"msg":"request answered","request":"1","first_ms":300,"gap_ms":600,` + route + `}`, map[Cause]int{CausePause: 1}, nil},
		{"failed attempt", `{"msg":"attempt","request":"1","ms":900,"error":"reset"}
{"msg":"attempt","request":"1","ms":300,"expected_ms":200}
{"msg":"request answered","request":"1","first_ms":1200,` + route + `}`, map[Cause]int{CauseRetry: 1}, nil},
		{"error answer first", `{"msg":"attempt","request":"1","ms":900,"status":500}
{"msg":"attempt","request":"1","ms":300,"status":200}
{"msg":"request answered","request":"1","ms":1200,` + route + `}`, map[Cause]int{CauseRetry: 1}, nil},
		{"queue", `{"msg":"attempt","request":"1","ms":400,"wait_ms":700}
{"msg":"request answered","request":"1","first_ms":1100,` + route + `}`, map[Cause]int{CauseQueue: 1}, nil},
		{"escalation", `{"msg":"attempt","request":"1","ms":600,"model":"a"}
{"msg":"attempt","request":"1","ms":600,"model":"b"}
{"msg":"request answered","request":"1","first_ms":1200,` + route + `}`, map[Cause]int{CauseEscalation: 1}, nil},
		{"slow endpoint", `prefix {"msg":"attempt","request":"1","ms":1200,"expected_ms":300}
{"msg":"request answered","request":"1","first_ms":1200,` + route + `}`, map[Cause]int{CauseSlow: 1}, nil},
		{"expected", `{"msg":"attempt","request":"1","ms":1200,"expected_ms":1100}
{"msg":"request answered","request":"1","first_ms":1200,` + route + `}`, map[Cause]int{CauseExpected: 1}, nil},
		{"failed", `{"msg":"request failed","request":"1","code":402,"route":"r"}`, nil, map[string]int{"402": 1}},
	} {
		r := NewReport()
		if err := r.Read(strings.NewReader("no log line\n{broken\n" + tc.log)); err != nil {
			t.Errorf("%s: %v", tc.name, err)
		}
		got := r.Routes["r"]
		if got == nil || got.Requests != 1 || r.Skipped != 2 {
			t.Errorf("%s: report %+v", tc.name, r)
			continue
		}
		if counts(got.Late) != counts(tc.late) || counts(got.Failed) != counts(tc.failed) {
			t.Errorf("%s: late %v, failed %v", tc.name, got.Late, got.Failed)
		}
	}
}

// Guards against sums of models that include attempts without an answer, and against tables without them.
func TestModelUse(t *testing.T) {
	r := NewReport()
	err := r.Read(strings.NewReader(`{"msg":"attempt","request":"1","model":"small","prompt":100,"uncached":40,"confidence":0.3}
{"msg":"attempt","request":"1","model":"small","prompt":100,"uncached":40,"error":"connection refused"}
{"msg":"attempt","request":"1","model":"large","prompt":100,"uncached":100,"confidence":1}
{"msg":"request answered","request":"1","route":"r"}`))
	if err != nil {
		t.Fatal(err)
	}
	if m := r.Models["small"]; m.Answers != 1 || m.Uncached != 40 || m.Confidences[3] != 1 {
		t.Errorf("small: %+v", m)
	}
	if m := r.Models["large"]; m.Answers != 1 || m.Confidences[10] != 1 || r.Routes["r"].Escalated != 1 {
		t.Errorf("large: %+v, route %+v", m, r.Routes["r"])
	}
	var text strings.Builder
	if err := r.WriteText(&text); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"small", "large", "connection refused"} {
		if !strings.Contains(text.String(), want) {
			t.Errorf("no %q in\n%s", want, text.String())
		}
	}
}
