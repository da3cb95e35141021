package store_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/endivechute/endivechute/store"
	"github.com/endivechute/endivechute/strict"
)

func serve(t *testing.T, handler http.HandlerFunc) *store.Client {
	t.Helper()
	server := httptest.NewServer(handler)
	client := store.NewClient(strings.TrimPrefix(server.URL, "http://"), "secret")
	t.Cleanup(func() {
		client.Close()
		server.Close()
	})
	return client
}

// TestWriteIsSentOnce checks that the client doesn't send a write again after the
// platform took it over a reused connection and closed that without a reply.
func TestWriteIsSentOnce(t *testing.T) {
	var writes atomic.Int64
	client := serve(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if r.Method == http.MethodGet {
			_, _ = io.WriteString(w, `{"path":"a","version":1}`)
			return
		}
		writes.Add(1)
		panic(http.ErrAbortHandler)
	})
	for _, write := range []func() (uint64, error){
		func() (uint64, error) { return client.Put(context.Background(), "a", []byte("x"), 1) },
		func() (uint64, error) { return client.Delete(context.Background(), "a", 1) },
	} {
		if _, err := client.Get(context.Background(), "a"); err != nil {
			t.Fatal(err)
		}
		before := writes.Load()
		if _, err := write(); err == nil || store.NotWritten(err) {
			t.Errorf("a write without a reply returned %v, want an error after which the outcome is unknown", err)
		}
		if sent := writes.Load() - before; sent != 1 {
			t.Errorf("the write was sent %d times", sent)
		}
	}
}

func TestRepliesAreChecked(t *testing.T) {
	tests := map[string]struct {
		status int
		body   string
		want   error
		text   string
	}{
		"not found":   {http.StatusNotFound, "", store.ErrNotFound, ""},
		"conflict":    {http.StatusConflict, `{"version":4}`, store.ErrConflict, ""},
		"forbidden":   {http.StatusForbidden, "", store.ErrForbidden, ""},
		"too large":   {http.StatusRequestEntityTooLarge, "", store.ErrTooLarge, ""},
		"unavailable": {http.StatusServiceUnavailable, "", nil, "status 503"},
		"malformed":   {http.StatusOK, `{"path":`, nil, "decode the platform's reply"},
		"wrong type":  {http.StatusOK, `{"version":"x"}`, nil, "decode the platform's reply"},
		"endless":     {http.StatusOK, strings.Repeat(" ", 2*store.ValueBytesMax+1), nil, "longer than"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			client := serve(t, func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(test.status)
				_, _ = io.WriteString(w, test.body)
			})
			_, err := client.Get(context.Background(), "teams/a/x y")
			if err == nil || (test.want != nil && !errors.Is(err, test.want)) || !strings.Contains(err.Error(), test.text) {
				t.Errorf("Get returned %v, want %v %s", err, test.want, test.text)
			}
			if _, err := client.Put(context.Background(), "a", nil, 0); err == nil || store.NotWritten(err) != (test.want != nil) {
				t.Errorf("Put returned %v, for which NotWritten returns %v", err, store.NotWritten(err))
			}
		})
	}
}

// TestRosterIsSentWhenItChanged checks that an unchanged list is not sent again,
// and that a changed one is.
func TestRosterIsSentWhenItChanged(t *testing.T) {
	var sent atomic.Int64
	names := []string{"e1", "e1", "e2", "e2"}
	asked := 0
	var before store.Roster
	client := serve(t, func(w http.ResponseWriter, r *http.Request) {
		tag := `"` + names[asked] + `"`
		asked++
		w.Header().Set("ETag", tag)
		if r.Header.Get("If-None-Match") == tag {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		sent.Add(1)
		_, _ = io.WriteString(w, `{"entries":[{"instance":`+tag+`}]}`)
	})
	for i, name := range names {
		roster, err := client.Roster(context.Background())
		if err != nil || len(roster.Entries) != 1 || string(roster.Entries[0].Instance) != name {
			t.Fatalf("read %d returned %+v, %v, want %s", i, roster, err, name)
		}
		if same := i > 0 && names[i-1] == name; roster.Identical(before) != same {
			t.Errorf("read %d: Identical to the list before is %v, want %v", i, !same, same)
		}
		before = roster
	}
	if sent.Load() != 2 {
		t.Errorf("the list was sent %d times, want 2", sent.Load())
	}
}

// TestOddRowDamagesItselfAlone guards against a list of instances that can't be read,
// so that nothing new is ever used, because of one odd row in it.
func TestOddRowDamagesItselfAlone(t *testing.T) {
	const (
		deep   = 100_000
		target = `{"target":"odd","service":"a/b","zone":"r/z","address":"127.0.0.1:80","state":"live"}`
	)
	for name, odd := range map[string]string{
		"nothing odd":         "",
		"deeply nested":       strings.Repeat("[", deep) + strings.Repeat("]", deep) + ",",
		"a deep field":        strings.Replace(target, "{", `{"extra":`+strings.Repeat("[", deep)+strings.Repeat("]", deep)+",", 1) + ",",
		"another type":        strings.Replace(target, `"odd"`, "7", 1) + ",",
		"a number too large":  strings.Replace(target, `"odd"`, "1e999", 1) + ",",
		"a port out of range": strings.Replace(target, ":80", ":99999", 1) + ",",
		"no name":             strings.Replace(target, `"odd"`, `""`, 1) + ",",
		"not JSON":            "nonsense,",
		"null":                "null,",
	} {
		t.Run(name, func(t *testing.T) {
			client := serve(t, func(w http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(w, `{"entries":[{"instance":"e1"}],"targets":[`+odd+strings.Replace(target, "odd", "good", 1)+`]}`)
			})
			roster, err := client.Roster(context.Background())
			if err != nil || len(roster.Entries) != 1 || len(roster.Targets) != 1 || roster.Targets[0].Target != "good" {
				t.Errorf("the list has %d entries and the targets %+v, error %v; want one of each", len(roster.Entries), roster.Targets, err)
			}
		})
	}
}

// TestMalformedReply sends a reply that is valid but for a space in a field name.
func TestMalformedReply(t *testing.T) {
	client := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX Bad: v\r\nContent-Length: 24\r\n\r\n"+`{"path":"a","version":1}`)
		_ = conn.Close()
	})
	if object, err := client.Get(t.Context(), "a"); !errors.Is(err, strict.ErrMalformed) {
		t.Errorf("the client takes version %d, error %v; want none", object.Version(), err)
	}
}
