package manage_test

import (
	"context"
	"strings"
	"testing"

	"github.com/endivechute/endivechute/manage"
	"github.com/endivechute/endivechute/plat"
	"github.com/endivechute/endivechute/store"
)

const chunk = `{"form":1,"sites":[{"site":"gisenyi","zone":"kigali/a","blocks":["10.0.0.0/8"]}]}`

// TestPolicySetWritesNoBlocks checks that PolicySet doesn't write a chunk of
// client blocks. It would wrap it in an envelope, which every entry refuses, and
// report it as accepted.
func TestPolicySetWritesNoBlocks(t *testing.T) {
	f := newFixture(t, "")
	if report, err := f.PolicySet(context.Background(), "blocks/c1", []byte(chunk), 0); err == nil {
		t.Errorf("PolicySet of a chunk gave outcome %d and no error", report.Outcome())
	}
}

func TestBlocksSet(t *testing.T) {
	tests := map[string]struct {
		value   string
		version uint64
		faults  plat.Faults
		want    manage.Outcome
		text    string
	}{
		"replaced":      {strings.ReplaceAll(chunk, "10.0", "11.0"), 1, plat.Faults{}, manage.OutcomeAccepted, "version 2"},
		"same":          {chunk, 1, plat.Faults{}, manage.OutcomeUnchanged, "version 1"},
		"other won":     {strings.ReplaceAll(chunk, "10.0", "13.0"), 7, plat.Faults{}, manage.OutcomeConflict, "version 1"},
		"bad chunk":     {`{"form":1,"sites":[{"site":"s","zone":"x","blocks":[]}]}`, 1, plat.Faults{}, manage.OutcomeRefused, "zone"},
		"reply lost":    {strings.ReplaceAll(chunk, "10.0", "12.0"), 1, plat.Faults{LoseReplies: 1}, manage.OutcomeAccepted, "version 2"},
		"not the first": {strings.ReplaceAll(chunk, "10.0", "14.0"), 0, plat.Faults{}, manage.OutcomeConflict, "version 1"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, "")
			if report, err := f.BlocksSet(context.Background(), "c1", []byte(chunk), 0); err != nil || report.Outcome() != manage.OutcomeAccepted {
				t.Fatalf("writing the first chunk gave outcome %d, %v", report.Outcome(), err)
			}
			f.out.Reset()
			f.server.SetFaults(test.faults)
			report, err := f.BlocksSet(context.Background(), "c1", []byte(test.value), test.version)
			if err != nil || report.Outcome() != test.want || !strings.Contains(f.out.String(), test.text) {
				t.Errorf("BlocksSet gave outcome %d, %v, printed %q; want %d with %q", report.Outcome(), err, f.out, test.want, test.text)
			}
			client := store.NewClient(f.server.Addr(), "")
			defer client.Close()
			object, err := client.Get(context.Background(), "blocks/c1")
			written := string(object.Value()) == test.value
			if wrote := test.want == manage.OutcomeAccepted || test.want == manage.OutcomeUnchanged; err != nil || written != wrote {
				t.Errorf("the store holds %s, %v", object.Value(), err)
			}
		})
	}
}
