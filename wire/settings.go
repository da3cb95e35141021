package wire

// The kinds of the messages by which processes replicate the settings.
const (
	KindSettingsDigest Kind = 40
	KindSettingsPull   Kind = 41
	KindSettings       Kind = 42
)

// SettingsDigest summarizes the settings of the sender. It is answered by the
// SettingsDigest of the receiver, and so is an unsolicited Settings.
type SettingsDigest struct {
	// Highest is the highest version that the sender has.
	Highest uint64 `msgpack:"highest"`
	// Hash is the hash of all paths and versions that the sender has.
	Hash uint64 `msgpack:"hash"`
	// Revision is the store's revision up to which the sender has every change,
	// or 0 if that is unknown.
	Revision uint64 `msgpack:"revision"`
	// AgeMillis is how long ago the store confirmed Revision, in milliseconds.
	AgeMillis int64 `msgpack:"age_ms"`
	// Ready reports whether the sender has settings to send to others.
	Ready bool `msgpack:"ready"`
}

// SettingsPull requests settings. Buckets holds the sender's bucket hashes and
// requests the versions of all objects in the buckets that differ; Paths requests
// the objects with these paths. It is answered by Settings.
type SettingsPull struct {
	Buckets []uint64 `msgpack:"buckets"`
	Paths   []string `msgpack:"paths"`
}

// SettingsVersion holds the versions of one object at the sender: the one in force
// and a newer one that the sender rejected.
type SettingsVersion struct {
	Path    string `msgpack:"path"`
	InForce uint64 `msgpack:"in_force"`
	Refused uint64 `msgpack:"refused"`
}

// SettingsObject is an object of the settings store.
type SettingsObject struct {
	Path    string `msgpack:"path"`
	Version uint64 `msgpack:"version"`
	Deleted bool   `msgpack:"deleted"`
	Value   []byte `msgpack:"value"`
}

// Settings carries versions or objects. It may hold fewer objects than requested,
// to stay within FrameBytesMax; the requester then asks for the rest.
type Settings struct {
	// Root is the instance at the root of the tree along which the objects are
	// pushed, or "" in an answer.
	Root     string            `msgpack:"root"`
	Versions []SettingsVersion `msgpack:"versions"`
	Objects  []SettingsObject  `msgpack:"objects"`
	Ready    bool              `msgpack:"ready"`
}

func (*SettingsDigest) kind() Kind { return KindSettingsDigest }
func (*SettingsPull) kind() Kind   { return KindSettingsPull }
func (*Settings) kind() Kind       { return KindSettings }

func newSettingsMessage(k Kind) Message {
	switch k {
	case KindSettingsDigest:
		return &SettingsDigest{}
	case KindSettingsPull:
		return &SettingsPull{}
	case KindSettings:
		return &Settings{}
	default:
		return nil
	}
}
