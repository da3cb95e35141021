package feed_test

import (
	"strings"
	"testing"
	"time"

	"github.com/endivechute/endivechute/feed"
	"github.com/endivechute/endivechute/place"
	"github.com/endivechute/endivechute/platform/fakes"
)

// oddEntries are contents of entries that another writer may leave among those of the
// targets. None names a target to use.
func oddEntries() map[string]string {
	with := func(old, replacement string) string { return strings.Replace(targetSpec, old, replacement, 1) }
	const deep = 100_000
	return map[string]string{
		"deeply nested arrays":       strings.Repeat("[", deep) + strings.Repeat("]", deep),
		"deeply nested objects":      strings.Repeat(`{"a":`, deep) + "1" + strings.Repeat("}", deep),
		"just too deep in a reply":   strings.Repeat("[", 9_998) + strings.Repeat("]", 9_998),
		"a deep field beside others": with(`{`, `{"extra":`+strings.Repeat("[", deep)+strings.Repeat("]", deep)+`,`),
		"a number too large":         with(`"max_concurrency":4`, `"max_concurrency":1e999`),
		"slots too many":             with(`"max_concurrency":4`, `"max_concurrency":9000000000000000000`),
		"a cold time too long":       with(`"cold_remaining_ms":0`, `"cold_remaining_ms":1e300`),
		"a start too late":           with(`"born":1`, `"born":9000000000000000000`),
		"a start of 400 digits":      with(`"born":1`, `"born":`+strings.Repeat("9", 400)),
		"a port out of range":        with(`127.0.0.1:9`, `127.0.0.1:99999`),
		"a negative port":            with(`127.0.0.1:9`, `127.0.0.1:-9`),
		"port 0":                     with(`127.0.0.1:9`, `127.0.0.1:0`),
		"bytes that aren't JSON":     `nonsense`,
		"a string":                   `"ready"`,
		"null":                       `null`,
	}
}

// TestOddEntryDamagesItselfAlone guards against a list that can't be read, so that
// nothing new is ever used, because another writer left one odd entry in it.
func TestOddEntryDamagesItselfAlone(t *testing.T) {
	for name, odd := range oddEntries() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			store, feeds := newStore(t), &feedSet{}
			store.Put("servers", "good", targetSpec)
			store.Put("servers", "odd", odd)
			live := []place.Instance{"i1", "i2"}
			for _, instance := range live {
				feeds.set(instance, start(t, store, string(instance), &fakePeers{live: live, feeds: feeds}))
			}
			uses := func(targets ...place.Target) func() bool {
				return func() bool {
					for _, instance := range live {
						if f := feeds.get(instance); f.View().Size() != len(targets) || !hasAll(f, targets) {
							return false
						}
					}
					return true
				}
			}
			eventually(t, 3*time.Second, "the good target from a list", uses("good"))
			// The odd entry is now among the changes.
			store.Put("servers", "turned", targetSpec)
			eventually(t, 2*time.Second, "a new target", uses("good", "turned"))
			store.Put("servers", "turned", odd)
			eventually(t, 2*time.Second, "the end of a target whose entry turned odd", uses("good"))
			store.Put("servers", "late", targetSpec)
			store.Put("config", "main", fakes.Config(2, 1000))
			eventually(t, 2*time.Second, "a target after that", uses("good", "late"))
			eventually(t, 2*time.Second, "a configuration after that", func() bool {
				return configVersion(feeds.get("i1")) == 2 && configVersion(feeds.get("i2")) == 2
			})
		})
	}
}

func hasAll(f *feed.Feed, targets []place.Target) bool {
	for _, target := range targets {
		if _, found := f.View().Member(target); !found {
			return false
		}
	}
	return true
}
