package notice

// Kind is what a message is about. Each kind has its own counters.
type Kind int

// Kinds of messages.
const (
	KindPhase     Kind = iota // phase of a release
	KindChanges               // changes in the store, and its recovery
	KindSession               // session in use on the old version of a release
	KindCrash                 // crash records
	KindEvidence              // evidence of a release
	KindEstimates             // estimates of one daemon
	KindPrompt                // long prompt at an endpoint
	kinds
)

var kindNames = [kinds]string{"phase", "changes", "session", "crash", "evidence", "estimates", "prompt"}

// Kinds returns all kinds.
func Kinds() []Kind {
	list := make([]Kind, kinds)
	for i := range list {
		list[i] = Kind(i)
	}
	return list
}

// String returns the name of the kind, as metrics and logs show it.
func (k Kind) String() string { return kindNames[k] }

// Kind returns what the message is about. A batch has the kind of its first message.
func (m *Message) Kind() Kind {
	switch {
	case len(m.Batch) > 0:
		return m.Batch[0].Kind()
	case m.Revision > 0:
		return KindChanges
	case len(m.Crashes) > 0:
		return KindCrash
	case len(m.Estimates) > 0:
		return KindEstimates
	case m.Endpoint != "":
		return KindPrompt
	case m.From != "":
		return KindEvidence
	case m.Phase != "":
		return KindPhase
	default:
		return KindSession
	}
}
