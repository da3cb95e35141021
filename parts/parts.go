// Package parts splits JSON documents into the raw bytes of their elements and
// members. Unlike encoding/json, it has no limit on how deeply values are nested and
// doesn't check what it splits, so that a part that can't be decoded spoils no other.
package parts

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// errUnbalanced means that a string, an object or an array has no end.
var errUnbalanced = errors.New("a JSON value has no end")

// Elements returns the raw elements of a JSON array. null has none. It returns an error
// if the value isn't an array or has no end.
func Elements(array []byte) ([]json.RawMessage, error) {
	array = trimSpace(array)
	if string(array) == "null" {
		return nil, nil
	}
	var elements []json.RawMessage
	err := split(array, '[', ']', func(part []byte) error {
		elements = append(elements, part)
		return nil
	})
	return elements, err
}

// Members returns the raw values of the members of a JSON object by their names. Of
// members with the same name it returns the last one. It returns an error if the value
// isn't an object or has no end.
func Members(object []byte) (map[string]json.RawMessage, error) {
	members := map[string]json.RawMessage{}
	err := split(trimSpace(object), '{', '}', func(part []byte) error {
		if part[0] != '"' {
			return errors.Newf("a member of a JSON object begins with %.10q; want a string", part)
		}
		end, err := stringEnd(part)
		if err != nil {
			return err
		}
		var name string
		if err := json.Unmarshal(part[:end], &name); err != nil {
			return errors.Wrap(err, "decode the name of a member")
		}
		rest := trimSpace(part[end:])
		if len(rest) == 0 || rest[0] != ':' {
			return errors.Newf("member %q has no value", name)
		}
		members[name] = trimSpace(rest[1:])
		return nil
	})
	return members, err
}

// split calls visit for each part between the brackets of a value that commas
// separate.
func split(value []byte, opening, closing byte, visit func(part []byte) error) error {
	if len(value) == 0 || value[0] != opening {
		return errors.Newf("a JSON value begins with %.10q; want %q", value, opening)
	}
	rest := value[1:]
	for first := true; ; first = false {
		end, err := partEnd(rest)
		if err != nil {
			return err
		}
		part := trimSpace(rest[:end])
		if len(part) > 0 {
			if err := visit(part); err != nil {
				return err
			}
		} else if !first || rest[end] == ',' {
			return errors.New("a part of a JSON value is empty")
		}
		if rest[end] != ',' {
			if rest[end] != closing || len(trimSpace(rest[end+1:])) > 0 {
				return errors.Newf("a JSON value that begins with %q ends with %.10q", opening, rest[end:])
			}
			return nil
		}
		rest = rest[end+1:]
	}
}

// partEnd returns the index of the comma or closing bracket that ends the part of an
// array or object at the start of data.
func partEnd(data []byte) (int, error) {
	depth := 0
	for i := 0; i < len(data); i++ {
		switch data[i] {
		case '"':
			length, err := stringEnd(data[i:])
			if err != nil {
				return 0, err
			}
			i += length - 1
		case '{', '[':
			depth++
		case '}', ']':
			if depth == 0 {
				return i, nil
			}
			depth--
		case ',':
			if depth == 0 {
				return i, nil
			}
		}
	}
	return 0, errUnbalanced
}

// stringEnd returns the length of the string at the start of data, with its quotes.
func stringEnd(data []byte) (int, error) {
	for i := 1; i < len(data); i++ {
		switch data[i] {
		case '\\':
			i++
		case '"':
			return i + 1, nil
		}
	}
	return 0, errUnbalanced
}

// trimSpace returns data without the JSON white space around it.
func trimSpace(data []byte) []byte {
	isSpace := func(b byte) bool { return b == ' ' || b == '\t' || b == '\n' || b == '\r' }
	for len(data) > 0 && isSpace(data[0]) {
		data = data[1:]
	}
	for len(data) > 0 && isSpace(data[len(data)-1]) {
		data = data[:len(data)-1]
	}
	return data
}
