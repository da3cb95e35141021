package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/endivechute/endivechute/place"
)

const (
	// problemsMax is the maximum number of problems reported for one object.
	problemsMax = 20
	// excerptBytesMax is how many bytes of an invalid value an error quotes.
	excerptBytesMax = 60
)

// reader parses JSON settings and collects all problems, each with the path of
// the field, instead of stopping at the first one.
type reader struct {
	problems []string
}

// member is a field of a JSON object or an element of an array, with its path
// from the root. The name of an element is empty.
type member struct {
	name  string
	path  string
	value json.RawMessage
}

// addProblem records a problem of the field at the path.
func (r *reader) addProblem(path, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	if path != "" {
		text = path + ": " + text
	}
	r.problems = append(r.problems, text)
}

// err returns one error with a line per problem, nil if there are none.
func (r *reader) err() error {
	if len(r.problems) == 0 {
		return nil
	}
	shown := r.problems
	if len(shown) > problemsMax {
		shown = append(shown[:problemsMax:problemsMax], fmt.Sprintf("and %d more", len(r.problems)-problemsMax))
	}
	return errors.Newf("%s", strings.Join(shown, "\n"))
}

// members returns the fields of a JSON object in their order. A duplicate field
// is a problem because JSON parsers disagree on which of the two values to use.
func (r *reader) members(path string, raw json.RawMessage) []member {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	if token, err := decoder.Token(); err != nil || token != json.Delim('{') {
		r.addProblem(path, "%s is given; want an object {...}", excerpt(raw))
		return nil
	}
	var members []member
	seen := map[string]bool{}
	for decoder.More() {
		token, err := decoder.Token()
		name, isName := token.(string)
		m := member{name: name, path: joinPath(path, name)}
		if err == nil {
			err = decoder.Decode(&m.value)
		}
		if err != nil || !isName {
			r.addProblem(path, "invalid JSON: %v", err)
			return members
		}
		if seen[name] {
			r.addProblem(m.path, "duplicate field; want it once")
			continue
		}
		seen[name] = true
		members = append(members, m)
	}
	return members
}

// list returns the elements of a JSON array of at most maxElements elements.
func (r *reader) list(m member, maxElements int) []member {
	var raws []json.RawMessage
	if bytes.Equal(m.value, []byte("null")) || json.Unmarshal(m.value, &raws) != nil {
		r.addProblem(m.path, "%s is given; want a list [...]", excerpt(m.value))
		return nil
	}
	if len(raws) > maxElements {
		r.addProblem(m.path, "%d entries are given, at most %d are allowed", len(raws), maxElements)
		return nil
	}
	elements := make([]member, 0, len(raws))
	for i, raw := range raws {
		elements = append(elements, member{path: fmt.Sprintf("%s[%d]", m.path, i), value: raw})
	}
	return elements
}

func (r *reader) stringValue(m member) string {
	var text *string
	if json.Unmarshal(m.value, &text) != nil || text == nil {
		r.addProblem(m.path, `%s is given; want a string "..."`, excerpt(m.value))
		return ""
	}
	return *text
}

// number parses a number and requires it to be in the range.
func (r *reader) number(m member, s numberRange) (float64, bool) {
	value, err := strconv.ParseFloat(string(m.value), 64)
	isInteger := value == float64(int64(value))
	if err != nil || value < s.min || value > s.max || (s.integer && !isInteger) {
		r.addProblem(m.path, "%s is given; want %s", excerpt(m.value), s)
		return 0, false
	}
	return value, true
}

func (r *reader) zone(path, text string) place.Zone {
	zone, err := place.ParseZone(text)
	if err != nil {
		r.addProblem(path, "%v", err)
	}
	return zone
}

func (r *reader) region(path, text string) place.Region {
	if err := place.CheckName("region", text); err != nil {
		r.addProblem(path, "%v", err)
	}
	return place.Region(text)
}

func (r *reader) target(path, text string) place.Target {
	if err := place.CheckName("target", text); err != nil {
		r.addProblem(path, "%v", err)
	}
	return place.Target(text)
}

// unknownField reports a field that does not exist here, with the names of
// those that do.
func (r *reader) unknownField(m member, allowed []string) {
	r.addProblem(m.path, "there is no such field; allowed here: %s", strings.Join(allowed, ", "))
}

// numberRange is a range of numbers that includes both bounds. With integer it
// contains whole numbers only.
type numberRange struct {
	min     float64
	max     float64
	integer bool
}

// String returns the range as it is written in errors and in the settings
// reference.
func (s numberRange) String() string {
	kind := "a number"
	if s.integer {
		kind = "a whole number"
	}
	return fmt.Sprintf("%s from %s to %s", kind, formatNumber(s.min), formatNumber(s.max))
}

func formatNumber(value float64) string { return strconv.FormatFloat(value, 'f', -1, 64) }

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// excerpt returns the value as an error quotes it, cut to excerptBytesMax.
func excerpt(raw []byte) string {
	if len(raw) > excerptBytesMax {
		return string(raw[:excerptBytesMax]) + "..."
	}
	return string(raw)
}
