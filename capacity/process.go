package capacity

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	readyTimeout = 30 * time.Second
	stopTimeout  = 30 * time.Second
	pollInterval = 20 * time.Millisecond
)

// process is a started program with its output.
type process struct {
	cmd    *exec.Cmd
	done   chan struct{} // closed when the process has exited
	err    error         // from Wait; valid after done is closed
	output *bytes.Buffer // standard output and error; valid after done is closed
}

// startProcess starts the program at path. The caller ends it with stop or kill.
func startProcess(path string, args ...string) (*process, error) {
	p := &process{cmd: exec.Command(path, args...), done: make(chan struct{}), output: &bytes.Buffer{}}
	p.cmd.Stdout, p.cmd.Stderr = p.output, p.output
	if err := p.cmd.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", filepath.Base(path), err)
	}
	go func() {
		p.err = p.cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

// stop sends SIGTERM and waits for the process to exit; after stopTimeout it sends SIGKILL. It returns an error unless
// the process exits with code 0 in response to SIGTERM.
func (p *process) stop() error {
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-p.done:
		if p.err != nil {
			return fmt.Errorf("%s: %w: %s", filepath.Base(p.cmd.Path), p.err, lastLine(p.output.String()))
		}
		return nil
	case <-time.After(stopTimeout):
		err := p.cmd.Process.Kill()
		<-p.done
		return errors.Join(fmt.Errorf("%s did not exit within %s after SIGTERM", filepath.Base(p.cmd.Path), stopTimeout), err)
	}
}

// exited returns an error that wraps errProcessExited and contains the last line of output if the process has exited, and nil
// if it runs.
func (p *process) exited() error {
	select {
	case <-p.done:
		return fmt.Errorf("%w: %s", errProcessExited, lastLine(p.output.String()))
	default:
		return nil
	}
}

// kill sends SIGKILL and waits until the process has exited.
func (p *process) kill() {
	_ = p.cmd.Process.Kill() // the process may have exited already
	<-p.done
}

func lastLine(s string) string {
	lines := strings.Split(strings.TrimSpace(s), "\n")
	return lines[len(lines)-1]
}

// processorTime returns the processor time that the process has used. It sums the schedstat files of the threads, because
// /proc/<pid>/stat counts ticks of 10 ms, which is too coarse for an idle daemon. The time of threads that have exited is
// missing, but the Go runtime keeps its threads.
func (p *process) processorTime() (time.Duration, error) {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", p.cmd.Process.Pid))
	if err != nil || len(files) == 0 {
		return 0, fmt.Errorf("read processor time of process %d: found no threads", p.cmd.Process.Pid)
	}
	var sum time.Duration
	for _, f := range files {
		data, err := os.ReadFile(f)
		if errors.Is(err, os.ErrNotExist) {
			continue
		}
		if err != nil {
			return 0, err
		}
		first, _, _ := strings.Cut(string(data), " ")
		ns, err := strconv.ParseInt(first, 10, 64)
		if err != nil {
			return 0, fmt.Errorf("parse %s: %w", f, err)
		}
		sum += time.Duration(ns)
	}
	return sum, nil
}

// residentBytes returns the resident memory of the process in bytes.
func (p *process) residentBytes() (float64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.cmd.Process.Pid))
	if err != nil {
		return 0, err
	}
	fields := strings.Fields(string(data))
	const residentField = 1
	pages, err := strconv.ParseInt(fields[residentField], 10, 64)
	return float64(pages * int64(os.Getpagesize())), err
}

// readMetrics reads the metrics of the daemon whose operator address is addr. The keys are metric names with their labels.
func readMetrics(ctx context.Context, addr string) (map[string]float64, error) {
	data, err := httpGet(ctx, "http://"+addr+"/metrics")
	if err != nil {
		return nil, err
	}
	out := map[string]float64{}
	lines := bufio.NewScanner(bytes.NewReader(data))
	for lines.Scan() {
		name, value, ok := splitMetricLine(lines.Text())
		if !ok {
			continue
		}
		if v, err := strconv.ParseFloat(value, 64); err == nil {
			out[name] = v
		}
	}
	return out, lines.Err()
}

// splitMetricLine splits a line of the metrics text format into the name with its labels and the value. ok is false for
// comments and lines without a space.
func splitMetricLine(line string) (name, value string, ok bool) {
	i := strings.LastIndexByte(line, ' ')
	if i < 0 || strings.HasPrefix(line, "#") {
		return "", "", false
	}
	return line[:i], line[i+1:], true
}

// httpGet returns the body of a GET request. It fails for a status of 400 or more.
func httpGet(ctx context.Context, url string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	return doRequest(req)
}

// httpClient has a timeout, so that an unresponsive process fails a measurement instead of blocking it.
var httpClient = &http.Client{Timeout: 10 * time.Second}

// doRequest returns the body of the response. It fails for a status of 400 or more.
func doRequest(req *http.Request) ([]byte, error) {
	resp, err := httpClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return nil, fmt.Errorf("%s: status %d: %s", req.URL.Path, resp.StatusCode, data)
	}
	return data, nil
}
