package relay

import (
	"errors"
	"io"
	"slices"
	"strings"
	"testing"
	"testing/iotest"
)

// readEvents returns the text and the IDs of all events in r, and the error that ended it.
func readEvents(r io.Reader) (text string, numbers []int64, err error) {
	er := NewEventReader(r)
	var b strings.Builder
	for {
		event, n, err := er.Next()
		if err != nil {
			return b.String(), numbers, err
		}
		b.Write(event)
		numbers = append(numbers, n)
	}
}

// Guards against incomplete events that are returned when a stream breaks, and against events that are modified.
func TestEventReader(t *testing.T) {
	for name, tc := range map[string]struct {
		in, out string
		numbers []int64
		err     error
	}{
		"whole":          {"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", []int64{1, 2}, io.EOF},
		"torn line":      {"id: 1\ndata: a\n\nid: 2\nda", "id: 1\ndata: a\n\n", []int64{1}, io.ErrUnexpectedEOF},
		"torn event":     {"id: 1\ndata: a\n\nid: 2\ndata: b\n", "id: 1\ndata: a\n\n", []int64{1}, io.ErrUnexpectedEOF},
		"carriage":       {"id: 7\r\ndata: a\r\n\r\n", "id: 7\r\ndata: a\r\n\r\n", []int64{7}, io.EOF},
		"without number": {"data: a\n\n", "data: a\n\n", []int64{0}, io.EOF},
		"blank lines":    {"\n\nid: 1\n\n\n", "id: 1\n\n", []int64{1}, io.EOF},
		"bad number":     {"id: x\n\n", "", nil, ErrMalformedEvent},
		"ID behind data": {"data: " + strings.Repeat("a", maxEventBytes) + "\nid: 1\n\n", "", nil, ErrMalformedEvent},
		"empty":          {"", "", nil, io.EOF},
		"long":           {"id: 1\ndata: " + strings.Repeat("a", 10000) + "\n\n", "id: 1\ndata: " + strings.Repeat("a", 10000) + "\n\n", []int64{1}, io.EOF},
		"too long":       {strings.Repeat("a", maxEventBytes+1), "", nil, ErrMalformedEvent},
		"no ID in time":  {strings.Repeat("event: a\n", maxEventBytes/9+1) + "id: 1\ndata: a\n\n", "", nil, ErrMalformedEvent},
	} {
		out, numbers, err := readEvents(strings.NewReader(tc.in))
		if out != tc.out || len(numbers) != len(tc.numbers) || !errors.Is(err, tc.err) {
			t.Errorf("%s: got events %.40q with IDs %v, error %v; want %.40q, %v, %v", name, out, numbers, err, tc.out, tc.numbers, tc.err)
		}
		for i := range min(len(numbers), len(tc.numbers)) {
			if numbers[i] != tc.numbers[i] {
				t.Errorf("%s: got IDs %v, want %v", name, numbers, tc.numbers)
			}
		}
	}
}

// Guards against lines that are cut where the read buffer is full: the end of the line was taken for the blank line that ends the event, and
// the event was joined to the next one.
func TestLinesAroundTheBufferSize(t *testing.T) {
	for _, lineBreak := range []string{"\n", "\r\n"} {
		for _, size := range []int{eventBufferSize, 2 * eventBufferSize, 15 * eventBufferSize} {
			for n := size - 3; n <= size+3; n++ {
				long := "data: " + strings.Repeat("a", n-len("data: "))
				in := strings.ReplaceAll("id: 1\n"+long+"\n\nid: 2\n"+long+"\ndata: b\n\nid: 3\ndata: c\n\n", "\n", lineBreak)
				for name, reader := range map[string]io.Reader{"at once": strings.NewReader(in), "byte by byte": iotest.OneByteReader(strings.NewReader(in))} {
					out, ids, err := readEvents(reader)
					if err != io.EOF || out != in || !slices.Equal(ids, []int64{1, 2, 3}) {
						t.Errorf("line of %d bytes ended by %q, read %s: %d of %d bytes in events %v, error %v", n, lineBreak, name, len(out), len(in), ids, err)
					}
				}
			}
		}
	}
}

// Guards against events larger than the reader's buffer that are cut, or whose parts are taken for events of their own.
func TestEventsLargerThanTheBuffer(t *testing.T) {
	for _, size := range []int{maxEventBytes - 20, maxEventBytes, 3 * maxEventBytes, 10*maxEventBytes + 1} {
		for name, large := range map[string]string{
			"one line":   "id: 2\ndata: " + strings.Repeat("a", size) + "\n\n",
			"many lines": "id: 2\n" + strings.Repeat("data: a\n", size/8) + "\n",
			"two fields": "id: 2\ndata: " + strings.Repeat("a", size) + "\nretry: 1\n\n",
		} {
			in := "id: 1\ndata: a\n\n" + large + "id: 3\ndata: b\n\n"
			r := NewEventReader(strings.NewReader(in))
			var out strings.Builder
			var ids []int64
			inEvent := false
			for {
				part, id, err := r.Next()
				if err == io.EOF {
					break
				}
				if err != nil || len(part) > maxEventBytes+eventBufferSize {
					t.Fatalf("%s of %d bytes: part of %d bytes, error %v", name, size, len(part), err)
				}
				out.Write(part)
				if !inEvent {
					ids = append(ids, id)
				}
				inEvent = r.Continues()
			}
			if out.String() != in || !slices.Equal(ids, []int64{1, 2, 3}) || inEvent {
				t.Errorf("%s of %d bytes: %d of %d bytes in events %v, still in an event: %t", name, size, out.Len(), len(in), ids, inEvent)
			}
			torn := NewEventReader(strings.NewReader(in[:len("id: 1\ndata: a\n\n")+len(large)-1]))
			err := error(nil)
			for err == nil {
				_, _, err = torn.Next()
			}
			if err != io.ErrUnexpectedEOF {
				t.Errorf("%s of %d bytes without its end: error %v, want %v", name, size, err, io.ErrUnexpectedEOF)
			}
		}
	}
}

// FuzzEventReader guards against panics and against events that have more bytes than the stream.
func FuzzEventReader(f *testing.F) {
	f.Add("id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
	f.Add("\r\n\r\nid:\n\n")
	f.Fuzz(func(t *testing.T, in string) {
		out, _, err := readEvents(strings.NewReader(in))
		if err == nil || len(out) > len(in) {
			t.Errorf("read events %q from stream %q, error %v", out, in, err)
		}
	})
}

// Guards against a stalled stream that counts as making progress because its server sends comments or events without data.
func TestAdvances(t *testing.T) {
	for event, want := range map[string]bool{
		"id: 1\ndata: x\n\n": true, "data:\n\n": true, ": ping\n\n": false, "event: keep\n\n": false, "id: 7\n\n": false, ":data: x\n\n": false,
	} {
		if got := HasData([]byte(event)); got != want {
			t.Errorf("HasData(%q) = %v, want %v", event, got, want)
		}
	}
}
