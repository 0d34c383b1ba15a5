// Package bed runs a small deployment of almonddrift for the cases of the review: the
// program as the deploy file starts it, and stand-ins for the platform's store, the
// backends and the clients. All addresses are loopback addresses.
package bed

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the file in which a case writes what was sent, answered and run.
type Record struct {
	start time.Time

	mu   sync.Mutex
	file *os.File
	text *bufio.Writer
}

// NewRecord returns a record that writes to the file at the path.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{start: time.Now(), file: file, text: bufio.NewWriter(file)}, nil
}

// Log writes one line, with the time since the start.
func (r *Record) Log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.text, "%9.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Say writes one line to the record and to the standard output.
func (r *Record) Say(format string, args ...any) {
	r.Log(format, args...)
	fmt.Printf(format+"\n", args...)
}

// Close writes what is left.
func (r *Record) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.text.Flush()
	_ = r.file.Close()
}
