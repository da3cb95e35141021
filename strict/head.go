// Package strict rejects HTTP/1 answers that HTTP libraries accept or repair although
// RFC 9112 calls them malformed. Whoever sends one is in trouble, and what a library
// makes of it isn't what was meant.
package strict

import (
	"bytes"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"
)

// ErrMalformed marks an answer that is not valid HTTP.
var ErrMalformed = errors.New("malformed answer")

// headEnd ends a head: the line break of the last line and an empty line.
var headEnd = []byte("\r\n\r\n")

// EndOfHead returns the length in bytes of the head with which data begins, its empty line
// included, or -1 if data doesn't contain its end. The first from bytes are known not to
// contain it.
func EndOfHead(data []byte, from int) int {
	start := max(from-len(headEnd)+1, 0)
	if i := bytes.Index(data[start:], headEnd); i >= 0 {
		return start + i + len(headEnd)
	}
	return -1
}

// CheckHead returns an error marked ErrMalformed if the head of an answer, as it was sent
// and with its empty line, is not valid by RFC 9112. Libraries repair some heads as they
// parse them, so that their result doesn't show what was wrong.
func CheckHead(head []byte) error {
	statusLine, _, _ := bytes.Cut(head, headEnd[:2])
	return checkStatusLine(statusLine)
}

// excerptBytes is how much of an invalid line an error quotes.
const excerptBytes = 64

// checkStatusLine checks a line like "HTTP/1.1 200 OK" (RFC 9112, section 4). The reason
// may be missing, with the space in front of it.
func checkStatusLine(line []byte) error {
	version, rest, _ := bytes.Cut(line, []byte(" "))
	minor, found := bytes.CutPrefix(version, []byte("HTTP/1."))
	if !found || len(minor) != 1 || !isDigit(minor[0]) {
		return errors.Wrapf(ErrMalformed, "the status line %.*q doesn't begin with HTTP/1 and a space", excerptBytes, line)
	}
	status, reason, _ := bytes.Cut(rest, []byte(" "))
	if !isStatus(status) {
		return errors.Wrapf(ErrMalformed, "the status line %.*q has no status from 100 to 599", excerptBytes, line)
	}
	if !httpguts.ValidHeaderFieldValue(string(reason)) {
		return errors.Wrapf(ErrMalformed, "the status line %.*q has a control character", excerptBytes, line)
	}
	return nil
}

// isStatus reports whether text is a valid status (RFC 9110, section 15).
func isStatus(text []byte) bool {
	return len(text) == 3 && text[0] >= '1' && text[0] <= '5' && isDigit(text[1]) && isDigit(text[2])
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }
