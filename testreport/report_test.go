package testreport

import (
	"strings"
	"testing"
)

// events joins lines of JSON, in which ' is written in place of a double quote.
func events(lines ...string) string {
	return strings.ReplaceAll(strings.Join(lines, "\n"), "'", `"`)
}

// passed is the events of a test that prints a line and passes.
const passed = `{'Action':'run','Package':'p','Test':'TestA'}
{'Action':'output','Package':'p','Test':'TestA','Output':'=== RUN   TestA\n'}
{'Action':'output','Package':'p','Test':'TestA','Output':'noise\n'}
{'Action':'pass','Package':'p','Test':'TestA'}`

// Guards against a failure that is missing from the list at the end of the output, or that is hard to find between the lines
// of tests that passed.
func TestFailuresAreAtTheEnd(t *testing.T) {
	for name, c := range map[string]struct {
		in   string
		want string
	}{
		"none": {
			in: events(passed, `{'Action':'output','Package':'p','Output':'PASS\n'}`,
				`{'Action':'output','Package':'p','Output':'ok  \tp\t1s\n'}`, `{'Action':'pass','Package':'p'}`),
			want: "ok  \tp\t1s\n",
		},
		"a test": {
			in: events(passed, `{'Action':'run','Package':'p','Test':'TestB'}`, `{'Action':'output','Package':'p','Test':'TestB','Output':'wrong\n'}`,
				`{'Action':'fail','Package':'p','Test':'TestB'}`, `{'Action':'output','Package':'p','Output':'FAIL\n'}`,
				`{'Action':'output','Package':'p','Output':'FAIL\tp\t1s\n'}`, `{'Action':'fail','Package':'p'}`,
				`{'Action':'output','Package':'q','Output':'ok  \tq\t1s\n'}`),
			want: "wrong\nFAIL\tp\t1s\nok  \tq\t1s\n\n== failed (1)\n-- p TestB\nwrong\n",
		},
		"a process that ends": {
			in: events(passed, `{'Action':'run','Package':'p','Test':'TestB'}`,
				`{'Action':'output','Package':'p','Output':'FAIL\tp\t1s\n'}`, `{'Action':'fail','Package':'p'}`),
			want: "FAIL\tp\t1s\n    had not ended\n=== RUN   TestA\nnoise\n\n== failed (2)\n-- p TestB\n    had not ended\n-- p\n=== RUN   TestA\nnoise\n",
		},
		"a process that ends for a reason told under a test that has passed": {
			in: events(`{'Action':'run','Package':'p','Test':'TestB'}`, `{'Action':'run','Package':'p','Test':'TestA'}`,
				`{'Action':'pass','Package':'p','Test':'TestA'}`, `{'Action':'output','Package':'p','Test':'TestB','Output':'=== CONT  TestB\n'}`,
				`{'Action':'output','Package':'p','Output':'FAIL\tp\t1s\n'}`, `{'Action':'fail','Package':'p'}`),
			want: "FAIL\tp\t1s\n    had not ended\n=== CONT  TestB\n\n== failed (2)\n-- p TestB\n    had not ended\n-- p\n=== CONT  TestB\n",
		},
		"a package": {
			in: events(`{'ImportPath':'p [p.test]','Action':'build-output','Output':'undefined: x\n'}`,
				`{'Action':'fail','Package':'p'}`, `{'Action':'fail','Package':'q'}`),
			want: "undefined: x\n\n== failed (2)\n-- p\nundefined: x\n-- q\n",
		},
		"a run that is cut off": {
			in:   events("a line of another program", `{'Action':'run','Package':'p','Test':'TestB'}`),
			want: "a line of another program\n\n== failed (1)\n-- p TestB\n",
		},
	} {
		var out strings.Builder
		if err := Print(strings.NewReader(c.in), &out); err != nil {
			t.Fatal(err)
		}
		if out.String() != c.want {
			t.Errorf("%s:\n%s\nwant:\n%s", name, out.String(), c.want)
		}
	}
}
