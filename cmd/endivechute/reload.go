package main

import (
	"bytes"
	"os"

	"github.com/sirupsen/logrus"

	"github.com/endivechute/endivechute/platform"
)

// reloader applies changes of the platform's settings file.
type reloader struct {
	path  string
	apply func(*platform.Settings)
	log   *logrus.Logger
	// lastContent is the content that was read last, whether it was valid or not.
	lastContent []byte
	// unreadable is set while the file can't be read, so that this is logged once.
	unreadable bool
}

// newReloader makes a reloader that treats the present content of the file as
// applied. The field apply must be set before the first reload.
func newReloader(path string, log *logrus.Logger) *reloader {
	r := &reloader{path: path, log: log}
	r.lastContent, r.unreadable = r.read()
	return r
}

func (r *reloader) read() (content []byte, unreadable bool) {
	content, err := os.ReadFile(r.path)
	if err != nil && !r.unreadable {
		r.log.WithError(err).Error("The settings file can't be read; the last valid settings stay in force.")
	}
	return content, err != nil
}

// reload applies the settings of the file if its content has changed, or if force
// is set because the platform sent a signal. If they are invalid, it logs an error
// and the last valid settings stay in force.
func (r *reloader) reload(force bool) {
	var content []byte
	content, r.unreadable = r.read()
	if r.unreadable || (!force && bytes.Equal(content, r.lastContent)) {
		return
	}
	r.lastContent = content
	settings, err := platform.ReadSettings(bytes.NewReader(content))
	if err != nil {
		r.log.WithError(err).Error("The settings are invalid; the last valid ones stay in force.")
		return
	}
	r.apply(settings)
}
