package wire

// The kinds of the messages by which settings spread.
const (
	KindSettingsDigest Kind = 40
	KindSettingsPull   Kind = 41
	KindSettings       Kind = 42
)

// SettingsDigest sums up the settings of the sender. It is answered by the
// SettingsDigest of the receiver, and so is a Settings that was not asked for.
type SettingsDigest struct {
	// Highest is the highest version that the sender holds.
	Highest uint64 `msgpack:"highest"`
	// Hash is over all paths and versions that the sender holds.
	Hash uint64 `msgpack:"hash"`
	// Revision is the store's revision up to which the sender holds every
	// change, 0 if it doesn't know.
	Revision uint64 `msgpack:"revision"`
	// AgeMillis is how long ago the store confirmed that, in milliseconds.
	AgeMillis int64 `msgpack:"age_ms"`
	// Ready tells that the sender has settings to hand on.
	Ready bool `msgpack:"ready"`
}

// SettingsPull asks for settings: with Buckets, for the versions of all objects
// in buckets whose hashes differ; with Paths, for the objects themselves. It
// is answered by Settings.
type SettingsPull struct {
	Buckets []uint64 `msgpack:"buckets"`
	Paths   []string `msgpack:"paths"`
}

// SettingsVersion says which versions of one object the sender holds.
type SettingsVersion struct {
	Path    string `msgpack:"path"`
	InForce uint64 `msgpack:"in_force"`
	Refused uint64 `msgpack:"refused"`
}

// SettingsObject is one object of the store.
type SettingsObject struct {
	Path    string `msgpack:"path"`
	Version uint64 `msgpack:"version"`
	Deleted bool   `msgpack:"deleted"`
	Value   []byte `msgpack:"value"`
}

// Settings carries versions or objects. The objects may be fewer than were
// asked for, so that the frame stays within its limit; the rest is asked for
// again.
type Settings struct {
	// Root is the instance at the root of the tree over which the objects are
	// handed on, "" in an answer.
	Root     string            `msgpack:"root"`
	Versions []SettingsVersion `msgpack:"versions"`
	Objects  []SettingsObject  `msgpack:"objects"`
	Ready    bool              `msgpack:"ready"`
}

func (*SettingsDigest) kind() Kind { return KindSettingsDigest }
func (*SettingsPull) kind() Kind   { return KindSettingsPull }
func (*Settings) kind() Kind       { return KindSettings }

func newSettings(k Kind) Message {
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
