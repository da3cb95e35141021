package main

import (
	"bytes"
	"os"

	"github.com/sirupsen/logrus"

	"github.com/endivechute/endivechute/platform"
)

// reloader puts new settings of the platform into force.
type reloader struct {
	path  string
	apply func(*platform.Settings)
	log   *logrus.Logger
	// seen is the content that was last looked at, usable or not.
	seen []byte
	// missing tells that the file could not be read, which the log said.
	missing bool
}

// newReloader makes a reloader that takes the present file as in force.
// Where it puts them is set before the first reload.
func newReloader(path string, log *logrus.Logger) *reloader {
	r := &reloader{path: path, log: log}
	r.seen, r.missing = r.read()
	return r
}

func (r *reloader) read() (content []byte, missing bool) {
	content, err := os.ReadFile(r.path)
	if err != nil && !r.missing {
		r.log.WithError(err).Error("The settings file can't be read; the last good settings stay in force.")
	}
	return content, err != nil
}

// reload puts the settings of the file into force if it has changed or if the
// platform asked for it. Settings that can't be used are reported once, and the
// last good ones stay.
func (r *reloader) reload(asked bool) {
	var content []byte
	content, r.missing = r.read()
	if r.missing || (!asked && bytes.Equal(content, r.seen)) {
		return
	}
	r.seen = content
	settings, err := platform.ReadSettings(bytes.NewReader(content))
	if err != nil {
		r.log.WithError(err).Error("The settings can't be used; the last good ones stay in force.")
		return
	}
	r.apply(settings)
}
