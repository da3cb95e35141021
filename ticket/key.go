// Package ticket decides which non-idempotent requests may run. It is pure:
// it does no input or output, and the time is passed in.
//
// Each request carries an idempotency key that names two entry processes, its
// home and its witness. The home keeps a Ledger: it sends the request of a key
// to a target at most once, and only after the witness has recorded the key.
// The witness keeps Records. When the home is gone, the witness seals every
// unrecorded key that it is asked about: it refuses to record the key later, so
// that the verdict "not run" stays true. For a recorded key it returns the
// outcome, if the home reported one.
//
// Each comparison of times uses the clock of one process. Clock skew between
// processes makes keys expire early or late, but never lets a request run
// twice.
package ticket

import (
	"encoding/base64"
	"encoding/binary"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/endivechute/endivechute/place"
)

// KeyBytesMax is the maximum length of the text of a key, in bytes.
const KeyBytesMax = 512

const (
	prefixVersion   = 1
	checksumBytes   = 4
	wordBytes       = 8
	numberSeparator = "."
)

// ID identifies one process by its instance and its incarnation. The
// incarnation distinguishes it from other processes of the same instance.
type ID struct {
	instance    place.Instance
	incarnation uint64
}

// NewID returns the ID of a process of the instance.
func NewID(instance place.Instance, incarnation uint64) ID {
	return ID{instance: instance, incarnation: incarnation}
}

// Instance returns the name of the instance.
func (i ID) Instance() place.Instance { return i.instance }

// Incarnation returns the number that changes with each start of the process.
func (i ID) Incarnation() uint64 { return i.incarnation }

// Prefix is the first part of a key. A caller gets a prefix from a look-up and
// makes a key for each request by appending a dot and a number.
type Prefix struct {
	home    ID
	witness ID
	zone    place.Zone
	expires int64
	nonce   uint64
}

// Home returns the only process that may send the requests to targets.
func (p Prefix) Home() ID { return p.home }

// Witness returns the process that records the keys.
func (p Prefix) Witness() ID { return p.witness }

// WitnessZone returns the availability zone of the witness.
func (p Prefix) WitnessZone() place.Zone { return p.zone }

// Expires returns the time from which keys of the prefix are rejected. Each
// process compares it with its own clock.
func (p Prefix) Expires() time.Time { return time.UnixMilli(p.expires) }

// Key returns the key with the given number. Numbers start at 1.
func (p Prefix) Key(number uint64) Key { return Key{prefix: p, number: number} }

// String returns the URL-safe text of the prefix. It ends in a checksum.
func (p Prefix) String() string {
	return base64.RawURLEncoding.EncodeToString(p.append(nil))
}

func (p Prefix) append(out []byte) []byte {
	out = append(out, prefixVersion)
	out = appendID(out, p.home)
	out = appendID(out, p.witness)
	out = appendText(out, string(p.zone))
	out = binary.BigEndian.AppendUint64(out, uint64(p.expires))
	out = binary.BigEndian.AppendUint64(out, p.nonce)
	return binary.BigEndian.AppendUint32(out, uint32(xxhash.Sum64(out)))
}

func appendID(out []byte, id ID) []byte {
	out = appendText(out, string(id.instance))
	return binary.BigEndian.AppendUint64(out, id.incarnation)
}

func appendText(out []byte, text string) []byte {
	out = append(out, byte(len(text)))
	return append(out, text...)
}

// Key is the idempotency key of one request.
type Key struct {
	prefix Prefix
	number uint64
}

// Prefix returns the prefix of the key.
func (k Key) Prefix() Prefix { return k.prefix }

// Number returns the number that the caller appended.
func (k Key) Number() uint64 { return k.number }

// String returns the text of the key, such as "AQNh...x.7".
func (k Key) String() string {
	return k.prefix.String() + numberSeparator + strconv.FormatUint(k.number, 10)
}

func (k Key) id() keyID {
	return keyID{nonce: k.prefix.nonce, number: k.number}
}

// keyID identifies a key among the keys of one home.
type keyID struct {
	nonce  uint64
	number uint64
}

// ParseKey parses the text of a key. It accepts only what Key.String returns;
// the error describes the defect.
func ParseKey(text string) (Key, error) {
	if len(text) > KeyBytesMax {
		return Key{}, errors.Newf("key of %d bytes: at most %d are allowed", len(text), KeyBytesMax)
	}
	head, tail, found := strings.Cut(text, numberSeparator)
	if !found {
		return Key{}, errors.Newf("key %q: want the key prefix of a look-up, a dot and a number", text)
	}
	number, err := strconv.ParseUint(tail, 10, 64)
	if err != nil || number == 0 || strconv.FormatUint(number, 10) != tail {
		return Key{}, errors.Newf("key number %q: want a whole number from 1 without leading zeros", tail)
	}
	prefix, err := ParsePrefix(head)
	if err != nil {
		return Key{}, err
	}
	return prefix.Key(number), nil
}

// ParsePrefix parses the text of a key prefix. It accepts only what
// Prefix.String returns; the error describes the defect.
func ParsePrefix(text string) (Prefix, error) {
	packed, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil {
		return Prefix{}, errors.Wrapf(err, "key prefix %q: want URL-safe base64 as returned by a look-up", text)
	}
	if len(packed) < checksumBytes {
		return Prefix{}, errors.Newf("key prefix %q: it is cut off", text)
	}
	body, sum := packed[:len(packed)-checksumBytes], packed[len(packed)-checksumBytes:]
	if binary.BigEndian.Uint32(sum) != uint32(xxhash.Sum64(body)) {
		return Prefix{}, errors.Newf("key prefix %q: the checksum does not match", text)
	}
	p, err := readPrefix(&reader{rest: body})
	if err != nil {
		return Prefix{}, errors.Wrapf(err, "key prefix %q", text)
	}
	if p.String() != text {
		return Prefix{}, errors.Newf("key prefix %q: it is not in canonical form", text)
	}
	return p, nil
}

func readPrefix(r *reader) (Prefix, error) {
	if version := r.bytes(1); len(version) == 1 && version[0] != prefixVersion {
		return Prefix{}, errors.Newf("version %d; want %d", version[0], prefixVersion)
	}
	p := Prefix{home: r.id(), witness: r.id(), zone: place.Zone(r.text()), expires: int64(r.word()), nonce: r.word()}
	if r.short || len(r.rest) > 0 {
		return Prefix{}, errors.New("its length does not match its fields")
	}
	if p.expires < 0 {
		return Prefix{}, errors.New("its expiry is before 1970")
	}
	if err := place.CheckName("home", string(p.home.instance)); err != nil {
		return Prefix{}, err
	}
	if err := place.CheckName("witness", string(p.witness.instance)); err != nil {
		return Prefix{}, err
	}
	_, err := place.ParseZone(string(p.zone))
	return p, err
}

// reader decodes fields from the front of rest. If a field is incomplete, short
// is set, and this and all further fields are zero.
type reader struct {
	rest  []byte
	short bool
}

func (r *reader) bytes(count int) []byte {
	if r.short || len(r.rest) < count {
		r.short = true
		return nil
	}
	taken := r.rest[:count]
	r.rest = r.rest[count:]
	return taken
}

// word reads a big-endian integer of 64 bits.
func (r *reader) word() uint64 {
	taken := r.bytes(wordBytes)
	if r.short {
		return 0
	}
	return binary.BigEndian.Uint64(taken)
}

// text reads a string after a byte that holds its length.
func (r *reader) text() string {
	length := r.bytes(1)
	if r.short {
		return ""
	}
	return string(r.bytes(int(length[0])))
}

func (r *reader) id() ID {
	return ID{instance: place.Instance(r.text()), incarnation: r.word()}
}
