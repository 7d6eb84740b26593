package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// A recorder writes the record of a case: one line for each thing that was sent, answered or run, with the time since the
// beginning in seconds.
type recorder struct {
	mutex sync.Mutex
	file  *os.File
	begin time.Time
}

func newRecorder(name string) (*recorder, error) {
	file, err := os.Create(name)
	if err != nil {
		return nil, err
	}
	return &recorder{file: file, begin: time.Now()}, nil
}

// logf writes a line to the record and to standard output.
func (r *recorder) logf(format string, arguments ...any) {
	line := r.line(format, arguments...)
	fmt.Print(line)
}

// notef writes a line to the record alone.
func (r *recorder) notef(format string, arguments ...any) { r.line(format, arguments...) }

func (r *recorder) line(format string, arguments ...any) string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(r.begin).Seconds(), fmt.Sprintf(format, arguments...))
	_, _ = r.file.WriteString(line)
	return line
}

// at returns a time in seconds since the beginning.
func (r *recorder) at(t time.Time) float64 { return t.Sub(r.begin).Seconds() }

func (r *recorder) close() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_ = r.file.Close()
}
