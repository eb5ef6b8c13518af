package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run to a file, one event a line.
type record struct {
	start time.Time

	mutex  sync.Mutex
	file   *os.File
	writer *bufio.Writer
}

// newRecord creates the file at path.
func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{start: time.Now(), file: file, writer: bufio.NewWriter(file)}, nil
}

// printf writes an event with the time since the start of the run.
func (r *record) printf(format string, args ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_, _ = fmt.Fprintf(r.writer, "%8.3f ", time.Since(r.start).Seconds()) // close reports a failed write.
	_, _ = fmt.Fprintf(r.writer, format+"\n", args...)
}

// close writes what is buffered and closes the file.
func (r *record) close() error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if err := r.writer.Flush(); err != nil {
		return err
	}
	return r.file.Close()
}
