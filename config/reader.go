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
	// problemsMax is how many problems of one object are reported.
	problemsMax = 20
	// givenBytesMax is how much of a wrong value an error repeats.
	givenBytesMax = 60
)

// reader walks a JSON text and gathers everything that is wrong with it, each
// problem with the path of its field.
type reader struct {
	problems []string
}

// member is one field of a JSON object.
type member struct {
	name  string
	path  string
	value json.RawMessage
}

func (r *reader) add(path, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	if path != "" {
		text = path + ": " + text
	}
	r.problems = append(r.problems, text)
}

// err returns all problems in one error, nil if there are none.
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

// members returns the fields of a JSON object in their order. A name that
// stands twice is a problem, since JSON readers disagree on which one counts.
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
			r.add(path, "broken JSON: %v", err)
			return found
		}
		if seen[name] {
			r.add(m.path, "stands twice; want it once")
			continue
		}
		seen[name] = true
		found = append(found, m)
	}
	return found
}

// list returns the elements of a JSON array.
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
		r.add(m.path, `%s is given; want a text "..."`, given(m.value))
		return ""
	}
	return *text
}

// number returns a number that has to lie between least and most.
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

// unknown reports a field that does not exist and names those that do.
func (r *reader) unknown(m member, allowed []string) {
	r.add(m.path, "there is no such field; allowed here: %s", strings.Join(allowed, ", "))
}

// span is the range of a number.
type span struct {
	least float64
	most  float64
	whole bool
}

// String returns the range as it stands in errors and in the reference.
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

func given(raw []byte) string {
	if len(raw) > givenBytesMax {
		return string(raw[:givenBytesMax]) + "..."
	}
	return string(raw)
}
