package parts_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/endivechute/endivechute/parts"
)

// Example decodes the elements of a list one by one, so that one that can't be decoded
// is left out.
func Example() {
	elements, err := parts.Elements([]byte(`[{"port":80}, {"port":1e999}, {"port":81}]`))
	fmt.Println(len(elements), err)
	for _, element := range elements {
		var entry struct{ Port uint16 }
		if json.Unmarshal(element, &entry) == nil {
			fmt.Println(entry.Port)
		}
	}
	// Output:
	// 3 <nil>
	// 80
	// 81
}

// TestDeepElement guards against a limit on nesting, as encoding/json has one.
func TestDeepElement(t *testing.T) {
	const depth = 1_000_000
	deep := strings.Repeat("[", depth) + strings.Repeat("]", depth)
	elements, err := parts.Elements([]byte("[1," + deep + ",2]"))
	if err != nil || len(elements) != 3 || string(elements[1]) != deep || string(elements[2]) != "2" {
		t.Errorf("%d elements, error %v", len(elements), err)
	}
}

func TestMalformed(t *testing.T) {
	for name, text := range map[string]string{
		"empty": "", "no brackets": "1", "no end": "[1", "end in a string": `["a`, "end in an escape": `["\`,
		"an empty part": "[1,,2]", "a comma at the end": "[1,]", "a comma alone": "[,]", "the wrong bracket": "[1}", "more after the end": "[1] 2",
	} {
		if elements, err := parts.Elements([]byte(text)); err == nil {
			t.Errorf("elements of %s: %q, want an error", name, elements)
		}
	}
	for name, text := range map[string]string{
		"an array": "[]", "no name": "{1:2}", "no value": `{"a"}`, "no end": `{"a":1`, "end in a name": `{"a`, "an invalid name": `{"\x":1}`,
	} {
		if members, err := parts.Members([]byte(text)); err == nil {
			t.Errorf("members of %s: %q, want an error", name, members)
		}
	}
}

// TestAgreesWithJSON compares the parts of drawn documents with those that encoding/json
// finds.
func TestAgreesWithJSON(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		document := map[string]any{}
		for range rapid.IntRange(0, 5).Draw(t, "members") {
			document[rapid.String().Draw(t, "name")] = value(t, 3)
		}
		encoded, err := json.Marshal(document)
		if err != nil {
			t.Fatal(err)
		}
		if rapid.Bool().Draw(t, "indent") {
			var indented bytes.Buffer
			if err := json.Indent(&indented, encoded, " ", "\t"); err != nil {
				t.Fatal(err)
			}
			encoded = indented.Bytes()
		}
		var want map[string]json.RawMessage
		if err := json.Unmarshal(encoded, &want); err != nil {
			t.Fatal(err)
		}
		got, err := parts.Members(encoded)
		if err != nil || len(got) != len(want) {
			t.Fatalf("%d members, error %v; want %d", len(got), err, len(want))
		}
		for name, member := range want {
			if !bytes.Equal(got[name], member) {
				t.Fatalf("member %q is %s, want %s", name, got[name], member)
			}
			var elements []json.RawMessage
			if json.Unmarshal(member, &elements) != nil {
				continue
			}
			found, err := parts.Elements(member)
			if err != nil || len(found) != len(elements) {
				t.Fatalf("%d elements, error %v; want %d", len(found), err, len(elements))
			}
			for i := range elements {
				if !bytes.Equal(found[i], elements[i]) {
					t.Fatalf("element %d is %s, want %s", i, found[i], elements[i])
				}
			}
		}
	})
}

// value draws a JSON value with at most the given depth.
func value(t *rapid.T, depth int) any {
	switch kind := rapid.IntRange(0, 5).Draw(t, "kind"); {
	case kind == 0 && depth > 0:
		list := make([]any, rapid.IntRange(0, 4).Draw(t, "elements"))
		for i := range list {
			list[i] = value(t, depth-1)
		}
		return list
	case kind == 1 && depth > 0:
		return map[string]any{rapid.String().Draw(t, "key"): value(t, depth-1)}
	case kind <= 3:
		return rapid.String().Draw(t, "text")
	case kind == 4:
		return rapid.Float64().Draw(t, "number")
	}
	return nil
}
