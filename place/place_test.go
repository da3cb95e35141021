package place_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/endivechute/endivechute/place"
)

func ExampleParseZone() {
	zone, err := place.ParseZone("kigali/a")
	fmt.Println(zone.Region(), zone.Name(), err)
	// Output: kigali a <nil>
}

func ExampleParseService() {
	service, err := place.ParseService("library/search-desk")
	fmt.Println(service.Team(), service.Name(), err)
	// Output: library search-desk <nil>
}

func TestCheckName(t *testing.T) {
	tests := map[string]struct {
		text string
		ok   bool
	}{
		"plain":        {"kigali", true},
		"inner hyphen": {"andina-centro", true},
		"empty":        {"", false},
		"upper case":   {"Kigali", false},
		"end hyphen":   {"kigali-", false},
		"slash":        {"kigali/a", false},
		"longest":      {strings.Repeat("a", place.NameBytesMax), true},
		"too long":     {strings.Repeat("a", place.NameBytesMax+1), false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			err := place.CheckName("region", test.text)
			if (err == nil) != test.ok {
				t.Errorf("CheckName(%q) = %v, want ok %v", test.text, err, test.ok)
			}
		})
	}
}
