package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// record is the file record.txt of a case.
type record struct {
	mutex   sync.Mutex
	file    *os.File
	started time.Time
}

func newRecord(folder string) (*record, error) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	return &record{file: file, started: time.Now()}, err
}

// line writes a line with the seconds since the start of the case.
func (r *record) line(format string, values ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.file, "%8.3f  ", time.Since(r.started).Seconds())
	fmt.Fprintf(r.file, format+"\n", values...)
}

// say writes a line to the record and to the standard output.
func (r *record) say(format string, values ...any) {
	fmt.Printf(format+"\n", values...)
	r.line(format, values...)
}
