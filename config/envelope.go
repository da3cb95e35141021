package config

import (
	"bytes"
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// Schema is the version of the envelope format that this program reads and
	// writes.
	Schema = 1
	// RecentChangesMax is the maximum number of change ids that an object
	// keeps.
	RecentChangesMax = 32
	// AuthorBytesMax is the maximum length of an author's name, in bytes.
	AuthorBytesMax = 128
	// ChangeIDBytesMax is the maximum length of a change id, in bytes.
	ChangeIDBytesMax = 64
)

// Envelope wraps the settings in each stored object with metadata: the author,
// the change id and the time of the write. It keeps the last change ids so that
// a writer whose reply was lost can find out whether its write took effect,
// even after later writes.
type Envelope struct {
	author        string
	changeID      string
	recentChanges []string
	writtenAt     time.Time
	body          []byte
}

// NewEnvelope returns the envelope of a change to an object. previous is the
// envelope that the change replaces, nil for a new object.
func NewEnvelope(previous *Envelope, author, changeID string, writtenAt time.Time, body []byte) *Envelope {
	var recentChanges []string
	if previous != nil {
		recentChanges = slices.Clone(previous.recentChanges)
	}
	recentChanges = append(recentChanges, changeID)
	if len(recentChanges) > RecentChangesMax {
		recentChanges = recentChanges[len(recentChanges)-RecentChangesMax:]
	}
	return &Envelope{author: author, changeID: changeID, recentChanges: recentChanges, writtenAt: writtenAt.UTC(), body: body}
}

// Author returns the name of the author of the change.
func (e *Envelope) Author() string { return e.author }

// ChangeID returns the id of the change that wrote the object.
func (e *Envelope) ChangeID() string { return e.changeID }

// Includes reports whether the change is among the last RecentChangesMax
// changes to the object.
func (e *Envelope) Includes(changeID string) bool { return slices.Contains(e.recentChanges, changeID) }

// WrittenAt returns the time of the write by the author's clock.
func (e *Envelope) WrittenAt() time.Time { return e.writtenAt }

// Body returns the settings in JSON. The caller must not change the slice.
func (e *Envelope) Body() []byte { return e.body }

// envelopeForm is the JSON encoding of an Envelope in the store.
type envelopeForm struct {
	Schema        int             `json:"schema"`
	Author        string          `json:"author"`
	ChangeID      string          `json:"change_id"`
	RecentChanges []string        `json:"recent_changes"`
	WrittenAt     time.Time       `json:"written_at"`
	Body          json.RawMessage `json:"body"`
}

// Encode returns the JSON that is written to the store.
func (e *Envelope) Encode() ([]byte, error) {
	text, err := json.Marshal(envelopeForm{
		Schema: Schema, Author: e.author, ChangeID: e.changeID, RecentChanges: e.recentChanges, WrittenAt: e.writtenAt, Body: e.body,
	})
	return text, errors.Wrap(err, "encode the object")
}

// ParseEnvelope parses the JSON that Encode returns. It checks the metadata and
// leaves the settings in the body unchecked.
func ParseEnvelope(value []byte) (*Envelope, error) {
	if err := checkJSON(value); err != nil {
		return nil, err
	}
	decoder := json.NewDecoder(bytes.NewReader(value))
	decoder.DisallowUnknownFields()
	var form envelopeForm
	if err := decoder.Decode(&form); err != nil {
		return nil, errors.Wrap(err, "envelope: want schema, author, change_id, recent_changes, written_at and body")
	}
	switch {
	case form.Schema != Schema:
		return nil, errors.Newf("schema: %d is given; this program reads %d", form.Schema, Schema)
	case form.Author == "" || len(form.Author) > AuthorBytesMax:
		return nil, errors.Newf("author: %d bytes are given; want 1 to %d", len(form.Author), AuthorBytesMax)
	case form.ChangeID == "" || len(form.ChangeID) > ChangeIDBytesMax:
		return nil, errors.Newf("change_id: %d bytes are given; want 1 to %d", len(form.ChangeID), ChangeIDBytesMax)
	case len(form.RecentChanges) > RecentChangesMax || !slices.Contains(form.RecentChanges, form.ChangeID):
		return nil, errors.Newf("recent_changes: %d ids are given; want 1 to %d with change_id among them", len(form.RecentChanges), RecentChangesMax)
	case len(form.Body) == 0:
		return nil, errors.New("body: none is given; want the settings")
	}
	return &Envelope{
		author: form.Author, changeID: form.ChangeID, recentChanges: form.RecentChanges, writtenAt: form.WrittenAt, body: form.Body,
	}, nil
}

// RecentChanges returns the ids of the last changes, the newest last. The
// caller must not change the slice.
func (e *Envelope) RecentChanges() []string { return e.recentChanges }

// ChangeCount returns the number of change ids that the object keeps.
func (e *Envelope) ChangeCount() int { return len(e.recentChanges) }
