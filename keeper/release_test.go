package keeper_test

import (
	"testing"
	"time"

	"github.com/endivechute/endivechute/keeper"
	"github.com/endivechute/endivechute/place"
)

// TestReleaseRepeated: an entry that leaves repeats the release of its leases to
// each elector until that elector has answered or its grant has expired.
func TestReleaseRepeated(t *testing.T) {
	members := []place.Instance{"a", "b", "c"}
	electors := keeper.RendezvousOrder(testTarget, members)
	self, prompt, mute := electors[0], electors[1], electors[2]
	l := keeper.NewLeases(self, 1, -10*time.Second)
	l.Update(members, []keeper.Resource{testTarget}, -10*time.Second)
	acknowledge := func(from place.Instance, sent, now time.Duration, granted ...keeper.Resource) {
		l.HandleAck(from, keeper.HeartbeatReply{Incarnation: 1, Sent: sent, Granted: granted}, now)
	}
	l.Tick(0)
	acknowledge(prompt, 0, 1, testTarget)
	acknowledge(mute, 0, 1, testTarget)
	if !l.Lease(testTarget).Held(1) {
		t.Fatal("the lease isn't held")
	}
	l.Leave(time.Millisecond)
	tests := []struct {
		at   time.Duration
		want []place.Instance
		ack  place.Instance
	}{
		{time.Millisecond, []place.Instance{prompt, mute}, prompt},
		{400 * time.Millisecond, []place.Instance{mute}, prompt},
		{800 * time.Millisecond, []place.Instance{mute}, mute},
		{900 * time.Millisecond, nil, ""},
	}
	for _, test := range tests {
		released := map[place.Instance]bool{}
		for _, addressed := range l.Tick(test.at) {
			for _, r := range addressed.Heartbeat.Requests {
				released[addressed.To] = r.Release && r.Resource == testTarget
			}
		}
		if len(released) != len(test.want) {
			t.Errorf("at %v: released to %v, want %v", test.at, released, test.want)
		}
		for _, e := range test.want {
			if !released[e] {
				t.Errorf("at %v: the lease isn't released to %s", test.at, e)
			}
		}
		if test.ack != "" {
			acknowledge(test.ack, test.at, test.at+1)
		}
	}
}

// TestReleaseEndsWithGrant: no release is repeated after the grants have expired.
func TestReleaseEndsWithGrant(t *testing.T) {
	members := []place.Instance{"a", "b", "c"}
	self := keeper.RendezvousOrder(testTarget, members)[0]
	l := keeper.NewLeases(self, 1, -10*time.Second)
	l.Update(members, []keeper.Resource{testTarget}, -10*time.Second)
	l.Tick(0)
	l.Leave(time.Millisecond)
	if len(l.Tick(time.Millisecond)) != len(members)-1 {
		t.Error("the lease isn't released to every other elector")
	}
	if sent := l.Tick(time.Millisecond + keeper.LeaseTime); len(sent) > 0 {
		t.Errorf("%d releases after the grants have expired, want 0", len(sent))
	}
}
