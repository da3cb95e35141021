package sender

import (
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// HeaderLimit is the header in which a target names how many requests per second it
// takes from all instances together.
const HeaderLimit = "Server-Limit"

// limitMax is the highest limit that a target can name, in requests per second.
const limitMax = 1e6

// ReadLimit returns the limit that an answer names, as ParseLimit does.
func ReadLimit(a Answer) (perSecond float64, named bool, err error) {
	return ParseLimit(HeaderLimit, a.Header(HeaderLimit))
}

// ParseLimit returns how many requests per second a target takes from all instances
// together, and whether the value of the header names such a limit. A value that
// isn't a decimal number, or is negative, is an error and names none. One above
// limitMax counts as limitMax and is an error, too.
func ParseLimit(header, value string) (perSecond float64, named bool, err error) {
	value = strings.TrimSpace(value)
	if value == "" {
		return 0, false, nil
	}
	n, err := strconv.ParseFloat(value, 64)
	switch {
	case strings.Trim(value, "0123456789.eE+-") != "", err != nil && !errors.Is(err, strconv.ErrRange), n < 0:
		return 0, false, errors.Newf("header %s is %q; want a decimal number of requests per second, 0 or more", header, value)
	case n > limitMax:
		return limitMax, true, errors.Newf("header %s is %q; %v requests per second count instead", header, value, limitMax)
	}
	return n, true, nil
}
