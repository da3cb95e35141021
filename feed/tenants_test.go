package feed

import (
	"strings"
	"testing"
	"time"

	"github.com/endivechute/endivechute/logs"
	"github.com/endivechute/endivechute/platform"
	"github.com/endivechute/endivechute/platform/fakes"
	"github.com/endivechute/endivechute/tenant"
	"github.com/endivechute/endivechute/wire"
)

// TestKeysOfPreviousRelease guards against keys that an instance of the previous release
// sends, as a list or as changes, being kept and passed on.
func TestKeysOfPreviousRelease(t *testing.T) {
	const key = "secret-key"
	settings, err := platform.ReadSettings(strings.NewReader(fakes.Settings("i1", "a1", "a", "127.0.0.1:9", 20000)))
	if err != nil {
		t.Fatal(err)
	}
	f := New(settings, platform.NewStore("127.0.0.1:9", func(string, time.Duration) {}), nil, time.Now, logs.Discard())
	for version, whole := range []bool{true, false} {
		revision := uint64(version + 1)
		spec := fakes.WithTenants(fakes.Config(version+1, 1000), fakes.TenantEntry{Name: "x", Keys: []string{key}})
		f.applyFollowed(&wire.Follow{After: map[string]uint64{platform.KindConfig: revision - 1}}, &wire.Followed{Kinds: []wire.FollowedKind{{
			Kind: platform.KindConfig, Revision: revision, Whole: whole,
			Objects: []wire.FollowedObject{{Name: "main", Revision: revision, Spec: []byte(spec)}},
		}}})
		if table := f.Table(); table == nil || table.Version() != revision {
			t.Fatalf("the configuration in force is %+v, want version %d", table, revision)
		}
		if found, known := f.Table().Tenants().Find(tenant.DigestOf(key)); !known || found.Name() != "x" {
			t.Errorf("version %d: the tenant is unknown", revision)
		}
		response, _ := f.followResponse(&wire.Follow{After: map[string]uint64{platform.KindConfig: revision - 1}})
		if len(response.Kinds) != 1 || len(response.Kinds[0].Objects) != 1 {
			t.Fatalf("version %d: followers get %+v, want the configuration", revision, response.Kinds)
		}
		if sent := string(response.Kinds[0].Objects[0].Spec); strings.Contains(sent, key) || !strings.Contains(sent, tenant.DigestOf(key).String()) {
			t.Errorf("version %d: followers get %s, want the digest of the key and not the key", revision, sent)
		}
	}
}
