// Package cluster starts a fleet and its stand-ins as separate processes on
// loopback, and harms them on demand.
package cluster

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"
)

const killWait = 5 * time.Second

// Process is one child.
type Process struct {
	name    string
	command *exec.Cmd
	ended   chan struct{}
	output  *tail
}

// tail keeps the last output of a process for reports.
type tail struct {
	mutex sync.Mutex
	data  []byte
	copy  io.Writer
}

const tailLength = 8192

func (tail *tail) Write(data []byte) (int, error) {
	tail.mutex.Lock()
	defer tail.mutex.Unlock()
	if tail.copy != nil {
		_, _ = tail.copy.Write(data)
	}
	tail.data = append(tail.data, data...)
	if excess := len(tail.data) - tailLength; excess > 0 {
		tail.data = bytes.Clone(tail.data[excess:])
	}
	return len(data), nil
}

// start runs this program again with other arguments.
func start(name string, output io.Writer, arguments ...string) (*Process, error) {
	program, err := os.Executable()
	if err != nil {
		return nil, errors.Trace(err)
	}
	return StartProgram(name, output, program, arguments...)
}

// StartProgram runs a program, which dies with this one. Output, which may be nil, gets a
// copy of what it prints.
func StartProgram(name string, output io.Writer, program string, arguments ...string) (*Process, error) {
	process := &Process{name: name, command: exec.Command(program, arguments...), ended: make(chan struct{}), output: &tail{copy: output}}
	process.command.Stderr = process.output
	process.command.Stdout = process.output
	process.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := process.command.Start(); err != nil {
		return nil, errors.Annotatef(err, "cannot start %s", name)
	}
	go func() {
		_ = process.command.Wait()
		close(process.ended)
	}()
	return process, nil
}

// Running reports whether the process has not ended.
func (process *Process) Running() bool {
	select {
	case <-process.ended:
		return false
	default:
		return true
	}
}

// Output is the end of what the process printed.
func (process *Process) Output() string {
	process.output.mutex.Lock()
	defer process.output.mutex.Unlock()
	return string(process.output.data)
}

// Signal sends a signal.
func (process *Process) Signal(signal syscall.Signal) {
	if process.Running() {
		_ = process.command.Process.Signal(signal)
	}
}

// Kill ends the process at once and waits for it.
func (process *Process) Kill() {
	process.Signal(syscall.SIGKILL)
	process.Wait(killWait)
}

// Wait reports whether the process ended in time.
func (process *Process) Wait(limit time.Duration) bool {
	select {
	case <-process.ended:
		return true
	case <-time.After(limit):
		return false
	}
}

// ResidentMemory is the process's resident set in bytes, or 0 when it cannot be
// read.
func (process *Process) ResidentMemory() int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", process.command.Process.Pid))
	if err != nil {
		return 0
	}
	var kilobytes int64
	for line := range strings.Lines(string(data)) {
		if rest, found := strings.CutPrefix(line, "VmRSS:"); found {
			_, _ = fmt.Sscan(rest, &kilobytes)
		}
	}
	return kilobytes << 10
}
