package logs_test

import (
	"bytes"
	"io"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/endivechute/endivechute/logs"
)

// TestAsyncNeverBlocks checks that Write doesn't block while nobody reads the
// log.
func TestAsyncNeverBlocks(t *testing.T) {
	reader, writer := io.Pipe()
	async := logs.NewAsync(writer)
	const lines = 10_000
	written := make(chan struct{})
	go func() {
		defer close(written)
		for range lines {
			_, _ = async.Write([]byte("line\n"))
		}
	}()
	select {
	case <-written:
	case <-time.After(5 * time.Second):
		t.Fatal("writing to a log that nobody reads blocks")
	}
	if async.Dropped() == 0 {
		t.Error("no line is counted as dropped, though nobody reads the log")
	}
	_ = reader.Close()
	async.Close()
}

func TestAsyncWritesAll(t *testing.T) {
	var out bytes.Buffer
	async := logs.NewAsync(&out)
	for _, line := range []string{"a\n", "b\n", "c\n"} {
		_, _ = async.Write([]byte(line))
	}
	async.Close()
	if out.String() != "a\nb\nc\n" {
		t.Errorf("the log contains %q", out.String())
	}
}

func TestQuota(t *testing.T) {
	quota, now := logs.NewQuota(), time.Unix(1000, 0)
	allowed := 0
	for range 1000 {
		if quota.Allow(logs.ClassDone, now) {
			allowed++
		}
	}
	if !quota.Allow(logs.ClassFailed, now) {
		t.Error("lines of successful requests use up the quota of failed ones")
	}
	want := map[logs.Class]int{logs.ClassDone: 1000 - allowed}
	if diff := cmp.Diff(want, quota.TakeLeftOut()); diff != "" || allowed == 0 {
		t.Errorf("%d lines were written, left out (-want +got):\n%s", allowed, diff)
	}
	if !quota.Allow(logs.ClassDone, now.Add(time.Second)) {
		t.Error("the quota is not renewed in the next second")
	}
}
