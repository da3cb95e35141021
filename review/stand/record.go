package main

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// record is the file record.txt of a case: what was sent, answered and run, and when.
type record struct {
	began time.Time

	mu   sync.Mutex
	file *os.File
	text *bufio.Writer
}

func newRecord(folder string) (*record, error) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, errors.Wrap(err, "make the record")
	}
	return &record{began: time.Now(), file: file, text: bufio.NewWriter(file)}, nil
}

// line writes a line of a kind, such as "sent" or "ran".
func (r *record) line(kind, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.text, "%8.3f s  %-8s %s\n", time.Since(r.began).Seconds(), kind, fmt.Sprintf(format, args...))
}

// result writes a line to the record and to the standard output.
func (r *record) result(format string, args ...any) {
	r.line("result", format, args...)
	fmt.Printf(format+"\n", args...)
}

// checkServed returns an error if no request got its endpoint's whole answer, because a
// case in which nothing is served shows nothing.
func checkServed(whole int) error {
	if whole == 0 {
		return errors.New("no request got its endpoint's whole answer")
	}
	return nil
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.text.Flush()
	_ = r.file.Close()
}
