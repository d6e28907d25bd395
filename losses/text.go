package losses

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
)

// WriteText writes the report as tables. Routes and models are in the order of their names, causes and errors in the order
// of their counts.
func (r *Report) WriteText(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "ROUTE\tREQUESTS\tESCALATED\tLATE\tFAILED BY CODE")
	for _, name := range slices.Sorted(maps.Keys(r.Routes)) {
		l := r.Routes[name]
		fmt.Fprintf(tw, "%s\t%d\t%d\t%s\t%s\n", cmp.Or(name, "(none)"), l.Requests, l.Escalated, counts(l.Late), counts(l.Failed))
	}
	fmt.Fprintln(tw, "\nMODEL\tANSWERS\tPROMPT TOKENS\tUNCACHED\tBY CONFIDENCE 0.0 0.1 ... 1.0")
	for _, name := range slices.Sorted(maps.Keys(r.Models)) {
		m := r.Models[name]
		fmt.Fprintf(tw, "%s\t%d\t%d\t%d\t%s\n", name, m.Answers, m.Prompt, m.Uncached, strings.Trim(fmt.Sprint(m.Confidences), "[]"))
	}
	if len(r.FailedAttempts) > 0 {
		fmt.Fprintln(tw, "\nATTEMPTS WITHOUT AN ANSWER\t")
		for _, e := range byCount(r.FailedAttempts) {
			fmt.Fprintf(tw, "%d\t%s\n", r.FailedAttempts[e], e)
		}
	}
	return tw.Flush()
}

// counts returns counts by name as text, the largest first.
func counts[K ~string](m map[K]int) string {
	var parts []string
	for _, k := range byCount(m) {
		parts = append(parts, fmt.Sprintf("%d %s", m[k], k))
	}
	return cmp.Or(strings.Join(parts, ", "), "-")
}

// byCount returns the keys in the order of their counts, the largest first.
func byCount[K ~string](m map[K]int) []K {
	return slices.SortedFunc(maps.Keys(m), func(a, b K) int { return cmp.Or(cmp.Compare(m[b], m[a]), cmp.Compare(a, b)) })
}
