package ticket_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/endivechute/endivechute/ticket"
)

func newLedger(budget *ticket.Budget) *ticket.Ledger {
	return ticket.NewLedger(ticket.NewID("entry-1", 7), ticket.NewID("entry-2", 9), "kigali/b", budget)
}

func ExampleParseKey() {
	ledger := newLedger(ticket.NewBudget(limits))
	prefix, _ := ledger.Issue(time.UnixMilli(0), 42)
	key, err := ticket.ParseKey(prefix.String() + ".3")
	fmt.Println(key.Number(), key.Prefix().Home().Instance(), key.Prefix().WitnessZone(), err)
	_, err = ticket.ParseKey(prefix.String())
	fmt.Println(strings.Contains(err.Error(), "want the key prefix of a look-up, a dot and a number"))
	// Output:
	// 3 entry-1 kigali/b <nil>
	// true
}

func FuzzParseKey(f *testing.F) {
	prefix, _ := newLedger(ticket.NewBudget(limits)).Issue(time.UnixMilli(0), 42)
	text := prefix.Key(3).String()
	for _, seed := range []string{text, text[:20], text + "0", text + "\n", strings.Replace(text, ".3", ".03", 1), ".1", "", "AQ.1", "-.0"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		key, err := ticket.ParseKey(text)
		if err == nil && key.String() != text {
			t.Errorf("ParseKey(%q) returned the key %q", text, key)
		}
	})
}

func TestParseKeyRefuses(t *testing.T) {
	prefix, _ := newLedger(ticket.NewBudget(limits)).Issue(time.UnixMilli(0), 42)
	text := prefix.String()
	tests := map[string]struct{ text, want string }{
		"no number":     {text, "a dot and a number"},
		"zero":          {text + ".0", "from 1"},
		"leading zero":  {text + ".01", "leading zeros"},
		"too large":     {text + ".18446744073709551616", "whole number"},
		"changed":       {strings.ToUpper(text) + ".1", "key prefix"},
		"cut":           {text[:len(text)-4] + ".1", "checksum"},
		"line break":    {text[:8] + "\n" + text[8:] + ".1", "form"},
		"far too long":  {strings.Repeat("A", ticket.KeyBytesMax) + ".1", "at most"},
		"empty":         {".1", "cut off"},
		"not in base64": {"$$$$.1", "look-up"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := ticket.ParseKey(test.text)
			if err == nil || !strings.Contains(err.Error(), test.want) {
				t.Errorf("ParseKey(%q) returned %v, want an error that contains %q", test.text, err, test.want)
			}
		})
	}
}
