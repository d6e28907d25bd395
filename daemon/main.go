package daemon

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

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
	out := observe.NewLogWriter(os.Stderr)
	defer closeLog(out)
	log := NewLogger(s.LogLevel)
	log.SetOutput(out)
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(intake.HeapShare * float64(memoryBytes(s))))
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	d := NewFromSettings(s, log)
	d.metrics.Gauge("bramley_log_lines_dropped", func() float64 { return float64(out.Dropped()) })
	if err := d.Run(ctx); err != nil {
		log.WithError(err).Error("daemon failed")
		return exitFailure
	}
	return exitOK
}

// logFlushTimeout limits the time in which the last log lines are written when the process ends.
const logFlushTimeout = time.Second

// closeLog writes the lines that wait, unless the reader of the log is stuck.
func closeLog(out *observe.LogWriter) {
	flushed := make(chan struct{})
	go func() { out.Close(); close(flushed) }()
	select {
	case <-flushed:
	case <-time.After(logFlushTimeout):
	}
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
