package notice

import "time"

// Kind is what a message is about. Kinds are in the order of their rank: while the bound on all messages leaves room for some only, those of
// an earlier kind are sent first.
type Kind int

// Kinds of messages.
const (
	KindPhase     Kind = iota // phase of a release
	KindChanges               // changes in the store, its recovery, and what its content must not fall below
	KindSession               // session in use on the old version of a release
	KindSuspect               // crash records of requests that met several crashes
	KindCrash                 // other crash records
	KindEvidence              // evidence of a release
	KindDuty                  // report to the holder of the deployment's duties
	KindClear                 // crash records that are repeated, and records in favor of requests or prompt parts
	KindIdle                  // session that is no longer in use
	KindEstimates             // estimates of one daemon
	KindPrompt                // long prompt at an endpoint
	kinds
)

// bound limits the messages of a kind.
type bound struct {
	name  string
	share float64       // of baseRate
	wait  time.Duration // after which a message that could not be sent is dropped
}

// totalShare is the fraction of baseRate that messages of all kinds together may use. The bounds of the kinds add up to more, since few of
// them are needed at the same time.
const totalShare = 0.25

// bounds of the kinds. What is dropped is made up for: the next poll reads changes of the store; phases are in the store too; records of
// crashes are repeated; evidence and estimates are running totals, and so are the counts of duties; a session that is not reported as idle stays in use for longer.
var bounds = [kinds]bound{
	KindPhase:     {"phase", 0.02, 2 * time.Second},
	KindChanges:   {"changes", 0.15, time.Second},
	KindSession:   {"session", 0.08, 500 * time.Millisecond},
	KindSuspect:   {"suspect", 0.04, 2 * time.Second},
	KindCrash:     {"crash", 0.06, time.Second},
	KindEvidence:  {"evidence", 0.1, 1500 * time.Millisecond},
	KindDuty:      {"duty", 0.08, 800 * time.Millisecond},
	KindClear:     {"clear", 0.05, time.Second},
	KindIdle:      {"idle", 0.03, 500 * time.Millisecond},
	KindEstimates: {"estimates", 0.06, time.Second},
	KindPrompt:    {"prompt", 0.02, 100 * time.Millisecond},
}

// Kinds returns all kinds, the first in rank first.
func Kinds() []Kind {
	list := make([]Kind, kinds)
	for i := range list {
		list[i] = Kind(i)
	}
	return list
}

// String returns the name of the kind, as metrics and logs show it.
func (k Kind) String() string { return bounds[k].name }

// Kind returns what the message is about. A batch has the kind of its first message.
func (m *Message) Kind() Kind {
	switch {
	case len(m.Batch) > 0:
		return m.Batch[0].Kind()
	case m.Duty != nil:
		return KindDuty
	case m.Minimum != nil, !m.Revision.IsZero():
		return KindChanges
	case len(m.Crashes) > 0 && m.Minor:
		return KindClear
	case len(m.Crashes) > 0 && m.Suspect:
		return KindSuspect
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
	case m.Minor:
		return KindIdle
	default:
		return KindSession
	}
}

// delayed returns the message as it must be sent after it has waited: the times in it count until it is sent.
func (m Message) delayed(wait time.Duration) Message {
	if m.Age > 0 || !m.Revision.IsZero() {
		m.Age += wait
	}
	if m.Duty != nil {
		d := *m.Duty
		d.Waited += wait
		m.Duty = &d
	}
	if len(m.Crashes) > 0 {
		m.Crashes = append(m.Crashes[:0:0], m.Crashes...)
		for i := range m.Crashes {
			if m.Crashes[i].Crash != "" {
				m.Crashes[i].Ago += wait
			}
		}
	}
	if len(m.Batch) > 0 {
		m.Batch = append(m.Batch[:0:0], m.Batch...)
		for i := range m.Batch {
			m.Batch[i] = m.Batch[i].delayed(wait)
		}
	}
	return m
}
