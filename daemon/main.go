package daemon

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/sirupsen/logrus"

	"github.com/bramleytrail/bramleytrail/intake"
	"github.com/bramleytrail/bramleytrail/observe"
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
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(intake.HeapShare * float64(memoryBytes(s))))
	}
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
	log.SetFormatter(&observe.LogFormatter{})
	if l, err := logrus.ParseLevel(level); err == nil {
		log.SetLevel(l)
	}
	return log
}
