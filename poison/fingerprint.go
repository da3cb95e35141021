// Package poison recognizes requests under which one target after another crashes,
// and keeps them from further targets. It does no I/O and takes the current time as
// an argument.
package poison

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint identifies the attempts at the same request: those of one caller with
// the same method, host, path and body, at any instance. Another caller's request
// has another fingerprint, whatever it contains.
type Fingerprint uint64

// FingerprintOf returns the fingerprint of a request from its parts, in a fixed
// order, and its body.
func FingerprintOf(body []byte, parts ...string) Fingerprint {
	digest := xxhash.New()
	for _, part := range parts {
		// The length keeps parts that are split differently apart.
		_, _ = digest.WriteString(strconv.Itoa(len(part)) + ":")
		_, _ = digest.WriteString(part)
	}
	_, _ = digest.Write(body)
	return Fingerprint(digest.Sum64())
}

// String returns the form used in logs and in the platform's store, 16 hexadecimal
// digits.
func (f Fingerprint) String() string {
	digits := strconv.FormatUint(uint64(f), 16)
	const zeros = "0000000000000000"
	return zeros[len(digits):] + digits
}

// MarshalText returns the form that String returns, which structured logs use. A
// number of 64 bits would be rounded by most tools that read them.
func (f Fingerprint) MarshalText() ([]byte, error) { return []byte(f.String()), nil }

// ParseFingerprint parses the form that String returns, and reports whether the text
// has that form.
func ParseFingerprint(text string) (Fingerprint, bool) {
	const digits = 16
	n, err := strconv.ParseUint(text, 16, 64)
	return Fingerprint(n), err == nil && len(text) == digits
}
