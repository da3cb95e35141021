package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pageSize is the number of objects on one page of a list.
const pageSize = 50

// historyTime is how long the store keeps events, as platform.history_s says.
const historyTime = 20 * time.Second

// object is one object of the store.
type object struct {
	name     string
	revision uint64
	spec     json.RawMessage
}

func (o object) encode() []byte {
	return fmt.Appendf(nil, `{"metadata":{"name":%q,"revision":%d,"created_rev":1,"finalizers":[],"deleting":false},"spec":%s,"status":{}}`, o.name, o.revision, o.spec)
}

type event struct {
	kind    string
	at      time.Time
	deleted bool
	object  object
}

// farDelay is the time that a call from another region takes longer: two ways of 20 ms.
const farDelay = 40 * time.Millisecond

// store is a stand-in of the platform's store. It has an address for the machines of its own
// region and one, behind a longer link, for the others.
type store struct {
	address, farAddress string

	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object
	events   []event
	oldest   uint64
	changed  chan struct{}
}

func newStore() (*store, error) {
	near, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	far, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{
		address: near.Addr().String(), farAddress: far.Addr().String(), revision: 1,
		objects: map[string]map[string]object{}, changed: make(chan struct{}),
	}
	go func() { _ = http.Serve(near, s) }()
	go func() {
		_ = http.Serve(far, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			s.ServeHTTP(lateWriter{w}, r)
		}))
	}()
	return s, nil
}

// lateWriter delays the answer to a call from another region.
type lateWriter struct{ http.ResponseWriter }

// Write implements http.ResponseWriter. Each answer is written at once.
func (l lateWriter) Write(data []byte) (int, error) {
	time.Sleep(farDelay)
	return l.ResponseWriter.Write(data)
}

// put creates or replaces an object.
func (s *store) put(kind, name string, spec []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.putLocked(kind, name, spec)
}

func (s *store) putLocked(kind, name string, spec []byte) object {
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	if old, found := s.objects[kind][name]; found && bytes.Equal(old.spec, spec) {
		return old
	}
	s.revision++
	o := object{name: name, revision: s.revision, spec: spec}
	s.objects[kind][name] = o
	s.record(event{kind: kind, object: o})
	return o
}

func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, found := s.objects[kind][name]
	if !found {
		return
	}
	s.revision++
	delete(s.objects[kind], name)
	o.revision = s.revision
	s.record(event{kind: kind, deleted: true, object: o})
}

// record appends an event, drops those that are too old and wakes the watches.
func (s *store) record(e event) {
	e.at = time.Now()
	s.events = append(s.events, e)
	for len(s.events) > 0 && e.at.Sub(s.events[0].at) > historyTime {
		s.oldest = s.events[0].object.revision
		s.events = slices.Clone(s.events[1:])
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/-/objects/"), "/")
	w.Header().Set("Content-Type", "application/json")
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet:
		s.list(w, r, kind)
	default:
		s.write(w, r, kind, name)
	}
}

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	s.mu.Lock()
	var names []string
	for name := range s.objects[kind] {
		if name > r.URL.Query().Get("after") {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	more := len(names) > pageSize
	var items [][]byte
	for _, name := range names[:min(len(names), pageSize)] {
		items = append(items, s.objects[kind][name].encode())
	}
	revision := s.revision
	s.mu.Unlock()
	_, _ = fmt.Fprintf(w, `{"items":[%s],"more":%t,"as_of":%d}`, bytes.Join(items, []byte(",")), more, revision)
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	millis, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	end := time.After(time.Duration(millis) * time.Millisecond)
	over := false
	for {
		s.mu.Lock()
		gone, revision, changed := after < s.oldest, s.revision, s.changed
		var found [][]byte
		for _, e := range s.events {
			if e.kind == kind && e.object.revision > after {
				found = append(found, fmt.Appendf(nil, `{"deleted":%t,"object":%s}`, e.deleted, e.object.encode()))
			}
		}
		s.mu.Unlock()
		switch {
		case gone:
			w.WriteHeader(http.StatusGone)
			return
		case len(found) > 0 || over:
			_, _ = fmt.Fprintf(w, `{"events":[%s],"as_of":%d}`, bytes.Join(found, []byte(",")), revision)
			return
		}
		select {
		case <-changed:
		case <-end:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) write(w http.ResponseWriter, r *http.Request, kind, name string) {
	var sent struct {
		Metadata struct {
			Name string `json:"name"`
		} `json:"metadata"`
		Spec json.RawMessage `json:"spec"`
	}
	if err := json.NewDecoder(r.Body).Decode(&sent); err != nil && r.Method != http.MethodDelete {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.Method == http.MethodDelete {
		s.remove(kind, name)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Method == http.MethodPost {
		name = sent.Metadata.Name
	}
	old, exists := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && exists:
		w.WriteHeader(http.StatusConflict)
		_, _ = w.Write(old.encode())
	case r.Method == http.MethodPut && !exists:
		w.WriteHeader(http.StatusNotFound)
	default:
		_, _ = w.Write(s.putLocked(kind, name, sent.Spec).encode())
	}
}
