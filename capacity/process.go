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

// process is a started program.
type process struct {
	cmd  *exec.Cmd
	done chan struct{} // closed when the process has ended
	err  error         // of the end
	log  *bytes.Buffer
}

func startProcess(path string, args ...string) (*process, error) {
	p := &process{cmd: exec.Command(path, args...), done: make(chan struct{}), log: &bytes.Buffer{}}
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	if err := p.cmd.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", filepath.Base(path), err)
	}
	go func() {
		p.err = p.cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

// stop sends SIGTERM, or SIGKILL if the process stays longer than stopTimeout. It fails if the exit code is not 0.
func (p *process) stop() error {
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-p.done:
		if p.err != nil {
			return fmt.Errorf("%s: %w: %s", filepath.Base(p.cmd.Path), p.err, lastLine(p.log.String()))
		}
		return nil
	case <-time.After(stopTimeout):
		err := p.cmd.Process.Kill()
		<-p.done
		return errors.Join(fmt.Errorf("%s did not stop within %s", filepath.Base(p.cmd.Path), stopTimeout), err)
	}
}

// ended returns errEnded and the last line of output if the process has ended.
func (p *process) ended() error {
	select {
	case <-p.done:
		return fmt.Errorf("%w: %s", errEnded, lastLine(p.log.String()))
	default:
		return nil
	}
}

func (p *process) kill() {
	_ = p.cmd.Process.Kill() // the process may have ended already
	<-p.done
}

func lastLine(s string) string {
	lines := strings.Split(strings.TrimSpace(s), "\n")
	return lines[len(lines)-1]
}

// processorTime returns the time that all threads of the process ran. /proc/<pid>/stat counts in ticks of 10 ms, which
// is too coarse for an idle daemon, so the threads' schedstat files are added up. A thread that ended is not counted;
// the Go runtime keeps its threads.
func (p *process) processorTime() (time.Duration, error) {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", p.cmd.Process.Pid))
	if err != nil || len(files) == 0 {
		return 0, fmt.Errorf("no threads of process %d: %w", p.cmd.Process.Pid, err)
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
			return 0, fmt.Errorf("%s: %w", f, err)
		}
		sum += time.Duration(ns)
	}
	return sum, nil
}

// resident returns the resident memory in bytes.
func (p *process) resident() (float64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.cmd.Process.Pid))
	if err != nil {
		return 0, err
	}
	fields := strings.Fields(string(data))
	const residentField = 1
	pages, err := strconv.ParseInt(fields[residentField], 10, 64)
	return float64(pages * int64(os.Getpagesize())), err
}

// metrics reads the metrics of a daemon by their full names.
func metrics(ctx context.Context, addr string) (map[string]float64, error) {
	data, err := get(ctx, "http://"+addr+"/metrics")
	if err != nil {
		return nil, err
	}
	out := map[string]float64{}
	lines := bufio.NewScanner(bytes.NewReader(data))
	for lines.Scan() {
		name, value, ok := cutLast(lines.Text())
		if !ok {
			continue
		}
		if v, err := strconv.ParseFloat(value, 64); err == nil {
			out[name] = v
		}
	}
	return out, lines.Err()
}

func cutLast(line string) (name, value string, ok bool) {
	i := strings.LastIndexByte(line, ' ')
	if i < 0 || strings.HasPrefix(line, "#") {
		return "", "", false
	}
	return line[:i], line[i+1:], true
}

func get(ctx context.Context, url string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	return send(req)
}

// client bounds each request, so that one silent process does not stop a measurement.
var client = &http.Client{Timeout: 10 * time.Second}

func send(req *http.Request) ([]byte, error) {
	resp, err := client.Do(req)
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
