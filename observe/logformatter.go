package observe

import (
	"github.com/sirupsen/logrus"

	"github.com/bramleytrail/bramleytrail/result"
)

// maxLogField is the size in bytes up to which a field of a log line is written whole. Callers choose some, such as the identity of a request.
const maxLogField = 1 << 10

// LogFormatter writes log lines as JSON and shortens long texts in their fields.
type LogFormatter struct{ json logrus.JSONFormatter }

// Format implements logrus.Formatter.
func (f *LogFormatter) Format(e *logrus.Entry) ([]byte, error) {
	var short logrus.Fields // nil if no field is long
	for name, value := range e.Data {
		text, ok := value.(string)
		if err, isError := value.(error); isError {
			text, ok = err.Error(), true
		}
		if !ok || len(text) <= maxLogField {
			continue
		}
		if short == nil {
			short = make(logrus.Fields, len(e.Data))
			for k, v := range e.Data {
				short[k] = v
			}
		}
		short[name] = result.Shorten(text)
	}
	if short != nil {
		copied := *e
		copied.Data = short
		e = &copied
	}
	return f.json.Format(e)
}
