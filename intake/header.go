package intake

// Memory that a header section uses once it is parsed and copied for the endpoint, beside the bytes on the wire: an entry of a
// map, a slice and two strings for each line, twice.
const (
	headerByteCost = 3
	headerLineCost = 256
)

// HeaderCost returns the memory that a header section with a number of lines and bytes uses.
func HeaderCost(lines, bytes int) int64 {
	return int64(lines)*headerLineCost + int64(bytes)*headerByteCost
}

// Header measures a header section while its bytes arrive. The zero value is ready for a section.
type Header struct {
	Lines     int  // field lines begun
	FirstLine int  // bytes of the request line
	Bytes     int  // bytes of the field lines
	Ended     bool // the empty line was read; what follows is not counted
	inFields  bool
	lineBytes int // of the current line, without its line break
}

// Add counts bytes that were read.
func (h *Header) Add(p []byte) {
	for _, b := range p {
		if h.Ended {
			return
		}
		if h.FirstLine == 0 && (b == '\r' || b == '\n') {
			continue // net/http skips a few empty lines before a request, and refuses more
		}
		if h.inFields {
			h.Bytes++
		} else {
			h.FirstLine++
		}
		switch {
		case b == '\n' && !h.inFields:
			h.inFields = true
			h.lineBytes = 0
		case b == '\n':
			h.Ended = h.lineBytes == 0
			h.lineBytes = 0
		case b != '\r' && h.inFields:
			if h.lineBytes == 0 {
				h.Lines++
			}
			h.lineBytes++
		}
	}
}

// Exceeds reports whether the request line or the field lines are longer than a limit in bytes.
func (h *Header) Exceeds(limit int) bool { return h.FirstLine > limit || h.Bytes-2 > limit }

// Cost returns the memory that the section uses so far.
func (h *Header) Cost() int64 { return HeaderCost(h.Lines, h.FirstLine+h.Bytes) }
