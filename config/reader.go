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
	givenBytesMax = 60
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
func (r *reader) add(path, format string, args ...any) {
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
		r.add(path, "%s is given; want an object {...}", given(raw))
		return nil
	}
	var found []member
	seen := map[string]bool{}
	for decoder.More() {
		token, err := decoder.Token()
		name, isName := token.(string)
		m := member{name: name, path: join(path, name)}
		if err == nil {
			err = decoder.Decode(&m.value)
		}
		if err != nil || !isName {
			r.add(path, "invalid JSON: %v", err)
			return found
		}
		if seen[name] {
			r.add(m.path, "duplicate field; want it once")
			continue
		}
		seen[name] = true
		found = append(found, m)
	}
	return found
}

// list returns the elements of a JSON array of at most maxElements elements.
func (r *reader) list(m member, most int) []member {
	var raws []json.RawMessage
	if bytes.Equal(m.value, []byte("null")) || json.Unmarshal(m.value, &raws) != nil {
		r.add(m.path, "%s is given; want a list [...]", given(m.value))
		return nil
	}
	if len(raws) > most {
		r.add(m.path, "%d entries are given, at most %d are allowed", len(raws), most)
		return nil
	}
	found := make([]member, 0, len(raws))
	for i, raw := range raws {
		found = append(found, member{path: fmt.Sprintf("%s[%d]", m.path, i), value: raw})
	}
	return found
}

func (r *reader) text(m member) string {
	var text *string
	if json.Unmarshal(m.value, &text) != nil || text == nil {
		r.add(m.path, `%s is given; want a string "..."`, given(m.value))
		return ""
	}
	return *text
}

// number parses a number and requires it to be in the range.
func (r *reader) number(m member, s span) (float64, bool) {
	value, err := strconv.ParseFloat(string(m.value), 64)
	whole := value == float64(int64(value))
	if err != nil || value < s.least || value > s.most || (s.whole && !whole) {
		r.add(m.path, "%s is given; want %s", given(m.value), s)
		return 0, false
	}
	return value, true
}

func (r *reader) zone(path, text string) place.Zone {
	zone, err := place.ParseZone(text)
	if err != nil {
		r.add(path, "%v", err)
	}
	return zone
}

func (r *reader) region(path, text string) place.Region {
	if err := place.CheckName("region", text); err != nil {
		r.add(path, "%v", err)
	}
	return place.Region(text)
}

func (r *reader) target(path, text string) place.Target {
	if err := place.CheckName("target", text); err != nil {
		r.add(path, "%v", err)
	}
	return place.Target(text)
}

// unknownField reports a field that does not exist here, with the names of
// those that do.
func (r *reader) unknown(m member, allowed []string) {
	r.add(m.path, "there is no such field; allowed here: %s", strings.Join(allowed, ", "))
}

// numberRange is a range of numbers that includes both bounds. With integer it
// contains whole numbers only.
type span struct {
	least float64
	most  float64
	whole bool
}

// String returns the range as it is written in errors and in the settings
// reference.
func (s span) String() string {
	kind := "a number"
	if s.whole {
		kind = "a whole number"
	}
	return fmt.Sprintf("%s from %s to %s", kind, number(s.least), number(s.most))
}

func number(value float64) string { return strconv.FormatFloat(value, 'f', -1, 64) }

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// excerpt returns the value as an error quotes it, cut to excerptBytesMax.
func given(raw []byte) string {
	if len(raw) > givenBytesMax {
		return string(raw[:givenBytesMax]) + "..."
	}
	return string(raw)
}
