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

var (
	lineEnd = []byte("\r\n")
	// headEnd ends a head: the line break of the last line and an empty line.
	headEnd = []byte("\r\n\r\n")
)

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

// EndOfTrailer is like EndOfHead for the trailer section behind the last chunk of a body,
// which may be only an empty line.
func EndOfTrailer(data []byte, from int) int {
	if bytes.HasPrefix(data, lineEnd) {
		return len(lineEnd)
	}
	return EndOfHead(data, from)
}

// CheckHead returns an error marked ErrMalformed if the head of an answer, as it was sent
// and with its empty line, is not valid by RFC 9112. Libraries repair some heads as they
// parse them, so that their result doesn't show what was wrong.
func CheckHead(head []byte) error {
	statusLine, fields, _ := bytes.Cut(head, lineEnd)
	if err := checkStatusLine(statusLine); err != nil {
		return err
	}
	hasLength, isChunked := false, false
	err := checkFields(fields, func(name []byte) {
		hasLength = hasLength || bytes.EqualFold(name, []byte("Content-Length"))
		isChunked = isChunked || bytes.EqualFold(name, []byte("Transfer-Encoding"))
	})
	if err != nil {
		return err
	}
	// The next two are RFC 9112, section 6.3 and 6.1.
	if isChunked && hasLength {
		return errors.Wrap(ErrMalformed, "the head has both Transfer-Encoding and Content-Length")
	}
	if isChunked && !bytes.HasPrefix(statusLine, []byte("HTTP/1.1 ")) {
		return errors.Wrap(ErrMalformed, "the head has a Transfer-Encoding, but its version isn't HTTP/1.1")
	}
	return nil
}

// CheckTrailer is like CheckHead for a trailer section.
func CheckTrailer(fields []byte) error { return checkFields(fields, func([]byte) {}) }

// checkFields checks the lines up to the empty one and calls seen with the name of each.
func checkFields(fields []byte, seen func(name []byte)) error {
	for {
		line, rest, _ := bytes.Cut(fields, lineEnd)
		if len(line) == 0 {
			return nil
		}
		name, err := checkField(line)
		if err != nil {
			return err
		}
		seen(name)
		fields = rest
	}
}

// checkField checks a line like "Name: value" (RFC 9112, section 5) and returns the name.
// Lines that continue the one before them are obsolete, and a gateway may reject them
// (section 5.2).
func checkField(line []byte) ([]byte, error) {
	name, value, found := bytes.Cut(line, []byte(":"))
	if !found || !httpguts.ValidHeaderFieldName(string(name)) {
		return nil, errors.Wrapf(ErrMalformed, "the line %.*q doesn't begin with a field name and a colon", excerptBytes, line)
	}
	if !httpguts.ValidHeaderFieldValue(string(value)) {
		return nil, errors.Wrapf(ErrMalformed, "the value of the field %.*q has a control character", excerptBytes, name)
	}
	return name, nil
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
