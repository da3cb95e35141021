// Package logs creates the loggers of the system's components. Messages of a
// component begin with a fixed prefix, so that a search can select them from the
// log of a process.
package logs

import (
	"io"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
)

// New returns the logger of a process. level is one of debug, info, warn and
// error; format is text or json. The error names the invalid setting and the
// allowed values.
func New(out io.Writer, level, format string) (*logrus.Logger, error) {
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, errors.Newf("log-level: invalid value %q; want debug, info, warn or error", level)
	}
	logger := logrus.New()
	logger.SetOutput(out)
	logger.SetLevel(parsed)
	switch format {
	case "text":
		logger.SetFormatter(&logrus.TextFormatter{FullTimestamp: true, DisableColors: true})
	case "json":
		logger.SetFormatter(&logrus.JSONFormatter{})
	default:
		return nil, errors.Newf("log-format: invalid value %q; want text or json", format)
	}
	return logger, nil
}

// ForComponent returns a logger whose messages begin with the name of a
// component and a colon. It has the output, level and format of the given
// logger.
func ForComponent(logger *logrus.Logger, name string) *logrus.Logger {
	component := logrus.New()
	component.SetOutput(logger.Out)
	component.SetLevel(logger.GetLevel())
	component.SetFormatter(prefixFormatter{prefix: name + ": ", next: logger.Formatter})
	return component
}

// Discard returns a logger without output, for tests.
func Discard() *logrus.Logger {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return logger
}

type prefixFormatter struct {
	prefix string
	next   logrus.Formatter
}

// Format implements logrus.Formatter.
func (f prefixFormatter) Format(entry *logrus.Entry) ([]byte, error) {
	copied := *entry
	copied.Message = f.prefix + entry.Message
	line, err := f.next.Format(&copied)
	if err != nil {
		return nil, errors.Wrap(err, "format a log line")
	}
	return line, nil
}
