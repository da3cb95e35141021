package pipe

import (
	"bufio"
	"bytes"
	"net/http"
)

// headScanner finds the end of a request's head: the first empty line behind another one.
// Empty lines in front of the head are part of it. Lines end as net/http's do, with or
// without a carriage return.
type headScanner struct {
	// begun is true if a line that isn't empty has ended.
	begun bool
	line  lineState
}

// lineState says what is known of the line that hasn't ended yet.
type lineState int

const (
	lineEmpty lineState = iota
	// lineReturn: the line is a carriage return.
	lineReturn
	lineText
)

// scan looks at the next bytes. It returns how many of them belong to the head, and whether
// the head ends there. The scanner is then ready for the next head.
func (s *headScanner) scan(data []byte) (n int, complete bool) {
	for n < len(data) {
		end := bytes.IndexByte(data[n:], '\n')
		if end < 0 {
			s.add(data[n:])
			return len(data), false
		}
		s.add(data[n : n+end])
		n += end + 1
		hasText := s.line == lineText
		s.line = lineEmpty
		if !hasText && s.begun {
			s.begun = false
			return n, true
		}
		s.begun = s.begun || hasText
	}
	return n, false
}

// add adds bytes to the line.
func (s *headScanner) add(part []byte) {
	switch {
	case len(part) == 0:
	case s.line == lineEmpty && len(part) == 1 && part[0] == '\r':
		s.line = lineReturn
	default:
		s.line = lineText
	}
}

// isSafe reports whether requests of the method may be handled at the same time as others
// of their connection.
func isSafe(method string) bool { return method == http.MethodGet || method == http.MethodHead }

// parse returns the request with this head, nil if it may not start early, because it has a
// body, net/http might refuse it, or the head is longer than limit.
func parse(head []byte, limit int) *http.Request {
	if len(head) > limit || !bytes.HasPrefix(head, []byte("GET ")) && !bytes.HasPrefix(head, []byte("HEAD ")) {
		return nil
	}
	// net/http refuses control characters, and http.ReadRequest lets some pass.
	if bytes.ContainsFunc(head, func(r rune) bool { return r < ' ' && r != '\r' && r != '\n' && r != '\t' || r == '\x7f' }) {
		return nil
	}
	r, err := http.ReadRequest(bufio.NewReaderSize(bytes.NewReader(head), min(len(head), aheadFree)))
	if err != nil || r.ProtoMajor != 1 || r.ProtoMinor < 1 || r.Host == "" || r.ContentLength != 0 || len(r.TransferEncoding) > 0 || r.Header.Get("Expect") != "" {
		return nil
	}
	return r
}
