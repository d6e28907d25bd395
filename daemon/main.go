package daemon

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"

	"github.com/lesismal/nbio/logging"
	"github.com/sirupsen/logrus"

	"github.com/bramleytrail/bramleytrail/settings"
)

// Exit codes of the process.
const (
	exitOK              = 0
	exitFailure         = 1
	exitInvalidSettings = 2
)

// Main parses args, runs the daemon until SIGTERM or SIGINT and returns the process's exit code.
func Main(args []string) int {
	s, err := settings.Parse("bramleyd", args)
	if errors.Is(err, settings.ErrHelp) {
		return exitOK
	}
	if err != nil {
		fmt.Fprintf(os.Stderr, "bramleyd: %v\n", err)
		return exitInvalidSettings
	}
	log := NewLogger(s.LogLevel)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := NewFromSettings(s, log).Run(ctx); err != nil {
		log.WithError(err).Error("daemon failed")
		return exitFailure
	}
	return exitOK
}

// NewLogger returns a logger that writes JSON lines to standard error. An unknown level leaves the logger at info.
func NewLogger(level string) *logrus.Logger {
	log := logrus.New()
	log.SetFormatter(&logrus.JSONFormatter{})
	if l, err := logrus.ParseLevel(level); err == nil {
		log.SetLevel(l)
	}
	return log
}

var setNBIOLoggerOnce sync.Once

// setNBIOLogger redirects the log of the nbio HTTP library to the daemon's log. The library has one logger per process, so
// only the first daemon of a process sets it.
func setNBIOLogger(log *logrus.Logger) {
	setNBIOLoggerOnce.Do(func() { logging.SetLogger(nbioLogger{log.WithField("component", "nbio")}) })
}

// nbioLogger forwards the log lines of the nbio library. The library's info lines are routine and become debug lines; its
// errors become warnings.
type nbioLogger struct{ log *logrus.Entry }

func (nbioLogger) SetLevel(int)                    {}
func (l nbioLogger) Debug(format string, v ...any) { l.log.Debugf(format, v...) }
func (l nbioLogger) Info(format string, v ...any)  { l.log.Debugf(format, v...) }
func (l nbioLogger) Warn(format string, v ...any)  { l.log.Warnf(format, v...) }
func (l nbioLogger) Error(format string, v ...any) { l.log.Warnf(format, v...) }
