package capacity

import (
	"context"
	"errors"
	"math"
	"net"
	"os"
	"os/exec"
	"sync"
	"testing"
	"time"

	"github.com/bramleytrail/bramleytrail/local"
	"github.com/bramleytrail/bramleytrail/relay"
	"github.com/bramleytrail/bramleytrail/standin"
)

const testTimeout = 2 * time.Minute

// testBuild holds the compiled programs, which all tests of the package share.
var testBuild struct {
	once sync.Once
	dir  string
	b    Binaries
	err  error
}

func TestMain(m *testing.M) {
	code := m.Run()
	_ = os.RemoveAll(testBuild.dir) // removes nothing if no test needed the programs
	os.Exit(code)
}

// testBinaries compiles the programs at its first call and returns their paths.
func testBinaries(ctx context.Context, t testing.TB) Binaries {
	t.Helper()
	testBuild.once.Do(func() {
		if testBuild.dir, testBuild.err = os.MkdirTemp("", "bramleycap"); testBuild.err == nil {
			testBuild.b, testBuild.err = Build(ctx, testBuild.dir, Binaries{})
		}
	})
	if testBuild.err != nil {
		t.Fatal(testBuild.err)
	}
	return testBuild.b
}

// Guards against faults that show only with separate processes: in the settings, the ports, the platform adapters, a streamed
// answer, or the exit code after SIGTERM.
func TestProcessesServeAndStop(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	f, err := startFleet(ctx, testBinaries(ctx, t), fleetSpec{Daemons: 2, Endpoints: 2, Versions: 2, Teams: 1})
	if err != nil {
		t.Fatal(err)
	}
	defer f.abort()
	var a local.Answer
	if err := local.Wait(ctx, func() bool {
		a, err = local.NewClient(f.members[1].callerAddr, callerKey).Chat(ctx, local.ChatBody("auto", "one", true), nil)
		return err == nil && a.Status == 200
	}); err != nil {
		t.Fatalf("chat request through the second daemon: status %d, %v", a.Status, err)
	}
	if want := standin.Answer(a.Header.Get(relay.HeaderVersion), local.MessagesJSON("one"), 24); a.Text != want {
		t.Errorf("answer %q; want %q", a.Text, want)
	}
	values, err := readMetrics(ctx, f.members[0].operatorAddr)
	if err != nil {
		t.Fatal(err)
	}
	for _, kind := range []string{"store", "hosts", "load"} {
		if controlBytesOfKind(kind)(sample{metrics: values}) == 0 {
			t.Errorf("control traffic of kind %s: counted 0 bytes", kind)
		}
	}
	if err := f.stop(); err != nil {
		t.Error("a process did not exit with code 0: ", err)
	}
}

// Guards against a program that opens a port before it has validated its settings, and against an exit code other than 2 for
// invalid settings.
func TestBadSettingsOpenNoPort(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	b := testBinaries(ctx, t)
	// All addresses are in use, so a program that listens before it validates its settings fails with another code.
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	addr := ln.Addr().String()
	for name, path := range map[string]string{"daemon": b.Daemon, "stand-in": b.StandIn} {
		args := []string{"--listen", addr, "--admin-listen", addr, "--endpoints", "-1"}
		if name == "daemon" {
			args = []string{
				"--id", "a", "--domain", "north", "--listen", addr, "--peer-listen", addr, "--operator-listen", addr,
				"--store", "http://" + addr, "--hosts", "http://" + addr, "--session-key-file", t.TempDir(), "--polls-per-second", "0",
			}
		}
		var exit *exec.ExitError
		if out, err := exec.CommandContext(ctx, path, args...).CombinedOutput(); !errors.As(err, &exit) || exit.ExitCode() != 2 {
			t.Errorf("%s: %v; want exit code 2: %s", name, err, out)
		}
	}
}

// Guards against a wrong least-squares fit, from which every figure of the capacity page is derived.
func TestFit(t *testing.T) {
	f, err := NewFit("line", "x", "y", []Point{{0, 1}, {1, 5}, {2, 5}, {3, 9}})
	if err != nil {
		t.Fatal(err)
	}
	// Calculated by hand: slope 12/5, intercept 1.4, residuals -0.4, 1.2, -1.2, 0.4.
	if math.Abs(f.Slope-2.4) > 1e-9 || math.Abs(f.Intercept-1.4) > 1e-9 || math.Abs(f.Residual-math.Sqrt(0.8)) > 1e-9 {
		t.Errorf("slope %g, intercept %g, residual %g; want 2.4, 1.4 and sqrt(0.8)", f.Slope, f.Intercept, f.Residual)
	}
	if _, err := NewFit("few", "x", "y", []Point{{0, 0}, {1, 1}, {2, 2}}); err == nil {
		t.Error("NewFit accepted three points; the residual of so few does not show whether a line fits")
	}
}
