package main

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"
)

// world is a deployment that a case plays on.
type world struct {
	root, folder string
	// trouble is false if the case is to be played without its disruption.
	trouble   bool
	began     time.Time
	store     *store
	site      site
	fronts    []*front
	endpoints []*endpoint

	mu     sync.Mutex
	record *bufio.Writer
	file   *os.File
}

func newWorld(root, recordPath string, trouble bool) (*world, error) {
	file, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "rig-")
	if err != nil {
		return nil, err
	}
	s, err := newStore()
	if err != nil {
		return nil, err
	}
	return &world{root: root, folder: folder, trouble: trouble, began: time.Now(), store: s, file: file, record: bufio.NewWriter(file)}, nil
}

const (
	// A disruption of endpoints' answers lasts faultTime, and comes again after faultPause.
	faultTime  = 5500 * time.Millisecond
	faultPause = time.Second
)

// faulty reports whether such a disruption is under way.
func (w *world) faulty() bool {
	return w.trouble && time.Since(w.began)%(faultTime+faultPause) < faultTime
}

// note writes a line to the record and to the output.
func (w *world) note(format string, args ...any) {
	w.log(format, args...)
	fmt.Printf(format+"\n", args...)
}

// log writes a line to the record.
func (w *world) log(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// addEndpoints starts endpoints and writes their entries to the store.
func (w *world) addEndpoints(service string, places []place, slots int, serve func(e *endpoint, w *bufio.Writer, r *http.Request) bool) error {
	for i, p := range places {
		e, err := newEndpoint(fmt.Sprintf("i-%s-%d", service, i), service, p.zone, w.log, serve)
		if err != nil {
			return err
		}
		w.endpoints = append(w.endpoints, e)
		w.store.put("servers", e.id, e.spec(slots))
	}
	return nil
}

// startFronts starts a front at each place and waits until all are ready.
func (w *world) startFronts(places []place, kind site) error {
	fronts, err := newFronts(w.folder, w.store, places, kind)
	if err != nil {
		return err
	}
	w.fronts, w.site = fronts, kind
	for _, f := range fronts {
		if err := f.start(w.root); err != nil {
			return err
		}
	}
	for _, f := range fronts {
		if err := f.awaitReady(20 * time.Second); err != nil {
			return err
		}
		w.log("%s is ready at %s", f.name, f.clients())
	}
	// The other fronts have to be known, too.
	time.Sleep(2 * time.Second)
	return nil
}

// ranAt returns the endpoint at which the request ran, nil if it didn't.
func (w *world) ranAt(id string) *endpoint {
	for _, e := range w.endpoints {
		if runs, _ := e.ran(id); runs > 0 {
			return e
		}
	}
	return nil
}

// close ends all processes and removes the temporary folder.
func (w *world) close() {
	for _, f := range w.fronts {
		f.kill()
	}
	_ = w.record.Flush()
	_ = w.file.Close()
	_ = os.RemoveAll(w.folder)
}
