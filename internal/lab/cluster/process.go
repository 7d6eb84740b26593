// Package cluster runs nodes and stub services as separate processes on loopback
// addresses and injects faults into them on request.
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

const killTimeout = 5 * time.Second

// Process is a child process.
type Process struct {
	name    string
	command *exec.Cmd
	done    chan struct{}
	output  *outputTail
}

// outputTail keeps the last maxTailBytes of a process's output for error messages.
type outputTail struct {
	mutex sync.Mutex
	data  []byte
	copy  io.Writer
}

const maxTailBytes = 8192

func (outputTail *outputTail) Write(data []byte) (int, error) {
	outputTail.mutex.Lock()
	defer outputTail.mutex.Unlock()
	if outputTail.copy != nil {
		_, _ = outputTail.copy.Write(data)
	}
	outputTail.data = append(outputTail.data, data...)
	if excess := len(outputTail.data) - maxTailBytes; excess > 0 {
		outputTail.data = bytes.Clone(outputTail.data[excess:])
	}
	return len(data), nil
}

// startSelf starts the running executable with other arguments.
func startSelf(name string, output io.Writer, arguments ...string) (*Process, error) {
	program, err := os.Executable()
	if err != nil {
		return nil, errors.Trace(err)
	}
	return StartProgram(name, output, program, arguments...)
}

// StartProgram starts a program that is killed when the current process dies. If output is
// not nil, it receives a copy of what the program prints.
func StartProgram(name string, output io.Writer, program string, arguments ...string) (*Process, error) {
	process := &Process{name: name, command: exec.Command(program, arguments...), done: make(chan struct{}), output: &outputTail{copy: output}}
	process.command.Stderr = process.output
	process.command.Stdout = process.output
	process.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := process.command.Start(); err != nil {
		return nil, errors.Annotatef(err, "cannot start %s", name)
	}
	go func() {
		_ = process.command.Wait()
		close(process.done)
	}()
	return process, nil
}

// Running reports whether the process is still running.
func (process *Process) Running() bool {
	select {
	case <-process.done:
		return false
	default:
		return true
	}
}

// Output returns the last part of what the process printed.
func (process *Process) Output() string {
	process.output.mutex.Lock()
	defer process.output.mutex.Unlock()
	return string(process.output.data)
}

// ID returns the ID of the process.
func (process *Process) ID() int { return process.command.Process.Pid }

// Signal sends a signal to the process if it is running.
func (process *Process) Signal(signal syscall.Signal) {
	if process.Running() {
		_ = process.command.Process.Signal(signal)
	}
}

// Kill sends SIGKILL and waits for the process to exit.
func (process *Process) Kill() {
	process.Signal(syscall.SIGKILL)
	process.Wait(killTimeout)
}

// Wait waits for the process to exit and reports whether it did within the timeout.
func (process *Process) Wait(timeout time.Duration) bool {
	select {
	case <-process.done:
		return true
	case <-time.After(timeout):
		return false
	}
}

// ResidentMemory returns the resident set size of the process in bytes, or 0 if it
// cannot be read.
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
