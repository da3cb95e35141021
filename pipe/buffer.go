package pipe

import "github.com/endivechute/endivechute/hold"

// buffer holds the bytes that were read ahead. Only the goroutine that reads the connection
// changes the bytes; others may look at them meanwhile.
type buffer struct {
	data []byte
	// passed is how many of the bytes are heads of requests that were started early, and
	// scanned how many the scanner has seen, up to the end of the head behind them.
	passed, scanned int
	scanner         headScanner
	complete        bool
	// share counts the memory beyond aheadFree.
	share *hold.Share
}

// spare returns room for more bytes, none if the buffer may not grow.
func (b *buffer) spare(policy Policy) []byte {
	if size := cap(b.data); len(b.data) == size {
		grown := min(max(2*size, aheadFirst), aheadMax)
		if extra := grown - max(size, aheadFree); extra > 0 {
			if b.share == nil {
				b.share = policy.Share()
			}
			if !b.share.Take(extra) {
				return nil
			}
		}
		if grown <= size {
			return nil
		}
		b.data = append(make([]byte, 0, grown), b.data...)
	}
	return b.data[len(b.data):cap(b.data)]
}

// extend adds the first n bytes of target, which is the spare room or a buffer of its
// own.
func (b *buffer) extend(target []byte, n int) {
	if len(b.data) < cap(b.data) && len(target) > 0 && &b.data[:cap(b.data)][len(b.data)] == &target[0] {
		b.data = b.data[:len(b.data)+n]
		return
	}
	if b.data == nil {
		b.data = make([]byte, 0, aheadFirst)
	}
	b.data = append(b.data, target[:n]...)
}

// consume removes the first n bytes.
func (b *buffer) consume(n int) {
	b.data = b.data[:copy(b.data, b.data[n:])]
	b.passed -= n
	b.scanned -= n
	if b.passed < 0 {
		b.passed, b.scanned, b.scanner, b.complete = 0, 0, headScanner{}, false
	}
	if len(b.data) == 0 && cap(b.data) > aheadFree {
		b.data = nil
		b.release()
	}
}

// release gives back the memory that was counted.
func (b *buffer) release() {
	if b.share != nil {
		b.share.Release()
	}
}

// nextHead returns the head behind those of the requests that were started early, and
// whether it is complete.
func (b *buffer) nextHead() (head []byte, complete bool) {
	if !b.complete {
		n, found := b.scanner.scan(b.data[b.scanned:])
		b.scanned += n
		b.complete = found
	}
	return b.data[b.passed:b.scanned], b.complete
}

// passHead goes on to the head behind the one that nextHead returned.
func (b *buffer) passHead() { b.passed, b.complete = b.scanned, false }
