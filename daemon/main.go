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

// Exit codes of the daemon.
const (
	exitOK       = 0
	exitFailure  = 1
	exitSettings = 2
)

// Main runs the daemon until SIGTERM or SIGINT and returns the exit code.
func Main(args []string) int {
	s, err := settings.Parse("bramleyd", args)
	if errors.Is(err, settings.ErrHelp) {
		return exitOK
	}
	if err != nil {
		fmt.Fprintf(os.Stderr, "bramleyd: %v\n", err)
		return exitSettings
	}
	log := NewLogger(s.LogLevel)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := FromSettings(s, log).Run(ctx); err != nil {
		log.WithError(err).Error("daemon failed")
		return exitFailure
	}
	return exitOK
}

// NewLogger returns a logger that writes JSON lines to standard error.
func NewLogger(level string) *logrus.Logger {
	log := logrus.New()
	log.SetFormatter(&logrus.JSONFormatter{})
	if l, err := logrus.ParseLevel(level); err == nil {
		log.SetLevel(l)
	}
	return log
}

var engineLog sync.Once

// logEngine has the HTTP engine log to the daemon's log. Its logger belongs to the process, so that the first daemon sets it.
func logEngine(log *logrus.Logger) {
	engineLog.Do(func() { logging.SetLogger(engineLogger{log.WithField("component", "nbio")}) })
}

// engineLogger passes the HTTP engine's log lines on. Its routine lines are debug lines here.
type engineLogger struct{ log *logrus.Entry }

func (engineLogger) SetLevel(int)                    {}
func (l engineLogger) Debug(format string, v ...any) { l.log.Debugf(format, v...) }
func (l engineLogger) Info(format string, v ...any)  { l.log.Debugf(format, v...) }
func (l engineLogger) Warn(format string, v ...any)  { l.log.Warnf(format, v...) }
func (l engineLogger) Error(format string, v ...any) { l.log.Warnf(format, v...) }
