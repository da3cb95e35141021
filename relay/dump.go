package relay

import (
	"time"

	"github.com/endivechute/endivechute/config"
)

// Dump is the state of the settings in one process, as served on the operators'
// port.
type Dump struct {
	Ready bool `json:"ready"`
	// Relay is whether the process is a relay of its zone and watches the store.
	Relay bool `json:"relay"`
	// Highest is the highest version of any object that the process knows.
	Highest uint64 `json:"highest_version"`
	// Hash is equal in processes that hold the same versions.
	Hash uint64 `json:"hash"`
	// Revision is the store's revision up to which the process has all objects.
	Revision uint64 `json:"revision"`
	// ConfirmedAgeMillis is how many milliseconds ago the store confirmed the
	// revision to this process or to a peer, or -1 if it never did.
	ConfirmedAgeMillis int64        `json:"confirmed_age_ms"`
	Objects            []DumpObject `json:"objects"`
}

// DumpObject is the state of one settings object in one process.
type DumpObject struct {
	Path    string `json:"path"`
	Version uint64 `json:"version"`
	Deleted bool   `json:"deleted,omitempty"`
	Author  string `json:"author,omitempty"`
	// Since is when the version came into force in this process.
	Since time.Time `json:"since"`
	// RefusedVersion is a newer version that failed validation, and Problem is
	// the reason.
	RefusedVersion uint64 `json:"refused_version,omitempty"`
	Problem        string `json:"problem,omitempty"`
}

// Dump returns the state of the settings.
func (r *Relay) Dump() Dump {
	digest := r.digest()
	tables := r.Tables()
	dump := Dump{
		Ready: digest.Ready, Relay: r.IsRelay(), Highest: digest.Highest, Hash: digest.Hash, Revision: digest.Revision,
		ConfirmedAgeMillis: digest.AgeMillis, Objects: []DumpObject{},
	}
	if digest.Revision == 0 {
		dump.ConfirmedAgeMillis = -1
	}
	for _, path := range tables.Paths("") {
		dump.Objects = append(dump.Objects, dumpObject(tables, path))
	}
	return dump
}

func dumpObject(tables *config.Tables, path string) DumpObject {
	version := tables.Version(path)
	_, found := tables.Object(path)
	object := DumpObject{
		Path: path, Version: version.InForce(), Deleted: !found && version.InForce() > 0,
		Since: tables.Since(path), RefusedVersion: version.Refused(),
	}
	if envelope := tables.Envelope(path); envelope != nil {
		object.Author = envelope.Author()
	}
	if problem := tables.Problem(path); problem != nil {
		object.Problem = problem.Error()
	}
	return object
}
