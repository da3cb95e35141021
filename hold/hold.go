// Package hold bounds the memory for the bodies that a process buffers: requests
// that it reads and answers that it has not written yet. What doesn't fit is
// refused or streamed, so that many large bodies at once don't exceed the
// process's memory.
package hold

import (
	"io"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// chunkBytes is the largest size of the first buffer that ReadAll reads into.
const chunkBytes = 4 << 10

// Budget is the number of bytes that may be buffered at once. It is safe for use
// by several goroutines.
type Budget struct {
	limit int64
	used  atomic.Int64
}

// New returns a Budget of limit bytes.
func New(limit int64) *Budget { return &Budget{limit: limit} }

// Used returns how many bytes are buffered.
func (b *Budget) Used() int64 { return b.used.Load() }

// Limit returns how many bytes may be buffered at once.
func (b *Budget) Limit() int64 { return b.limit }

// Share returns an empty Share of the budget.
func (b *Budget) Share() *Share {
	return &Share{budget: b, limit: b.limit, taken: &atomic.Int64{}}
}

// Share is what one request has taken from a Budget. It is safe for use by
// several goroutines.
type Share struct {
	budget *Budget
	// limit is how many bytes of the budget may be used after a call of Take.
	limit int64
	taken *atomic.Int64
}

// Leaving returns a view of the share that takes nothing of the last reserve bytes of
// the budget. What it takes counts as taken by the share.
func (s *Share) Leaving(reserve int64) *Share {
	return &Share{budget: s.budget, limit: s.limit - reserve, taken: s.taken}
}

// Take adds n bytes to the share. It returns false and takes nothing if the
// budget has less room. A nil Share has no limit.
func (s *Share) Take(n int) bool {
	if s == nil {
		return true
	}
	if s.budget.used.Add(int64(n)) > s.limit {
		s.budget.used.Add(int64(-n))
		return false
	}
	s.taken.Add(int64(n))
	return true
}

// Release returns all bytes of the share to the budget.
func (s *Share) Release() { s.budget.used.Add(-s.taken.Swap(0)) }

// ReadAll reads until the end of the reader, or until limit bytes have been read
// or the share gets no more room. whole reports whether it reached the end; if
// not, the rest is still to be read. The first free bytes are not taken from the
// share. length is the expected number of bytes, -1 if it is unknown. Room for all of
// them is taken at once or not at all: otherwise many long bodies at once would each
// take a part of the room, and none of them would be read whole.
func ReadAll(reader io.Reader, share *Share, length int64, limit, free int) (data []byte, whole bool, err error) {
	room := free
	first := chunkBytes
	if length >= 0 && length < chunkBytes {
		// One more byte leaves room to see the end.
		first = int(length) + 1
	}
	if length >= int64(free) && length < int64(limit) {
		whole := int(length) + 1
		if share.Take(whole - free) {
			room, first = whole, whole
		} else {
			limit = free
		}
	}
	data = make([]byte, 0, min(first, limit+1))
	for {
		if len(data) == cap(data) {
			size := min(2*cap(data), limit)
			if size <= cap(data) {
				return data, false, nil
			}
			if size > room && !share.Take(size-room) {
				return data, false, nil
			}
			room = max(room, size)
			data = append(make([]byte, 0, size), data...)
		}
		n, err := reader.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if errors.Is(err, io.EOF) {
			return data, true, nil
		}
		if err != nil {
			return data, false, err //nolint:wrapcheck // the caller says what was read
		}
	}
}
