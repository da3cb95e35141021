// Package load generates load as callers do: it looks up the entries of each
// service, sends a mix of requests at a constant rate, follows the callers' rules
// on keys and verdicts, and compares the verdicts with the logs of the targets.
// The measurements use it.
package load

import (
	"bytes"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/endivechute/endivechute/place"
)

// Kind describes one kind of request in a Mix.
type Kind struct {
	// Name is unique in the mix.
	Name    string        `json:"name"`
	Service place.Service `json:"service"`
	Method  string        `json:"method"`
	// Path is the path that the target receives; "{n}" is replaced by a random
	// number.
	Path string `json:"path"`
	// Weight is the relative frequency of the kind in the mix.
	Weight int `json:"weight"`
	// NonIdempotent requests carry a key and run at most once.
	NonIdempotent bool `json:"non_idempotent"`
	BodyBytes     int  `json:"body_bytes"`
	// DeadlineMillis is how long the caller waits in total, in milliseconds.
	DeadlineMillis int `json:"deadline_ms"`
}

// Mix is a weighted set of request kinds.
type Mix struct {
	Name  string `json:"name"`
	Kinds []Kind `json:"kinds"`
}

// Bonoseguro is the mix of the savers of Bonoseguro Andino.
func Bonoseguro() Mix {
	return Mix{Name: "bonoseguro", Kinds: []Kind{
		{Name: "balance", Service: "bonoseguro/saldos", Method: http.MethodGet, Path: "/balances/{n}", Weight: 60, DeadlineMillis: 1000},
		{Name: "schedule", Service: "bonoseguro/vencimientos", Method: http.MethodGet, Path: "/schedules/{n}", Weight: 25, DeadlineMillis: 2000},
		{Name: "purchase", Service: "bonoseguro/ordenes", Method: http.MethodPost, Path: "/purchases", Weight: 9, NonIdempotent: true, BodyBytes: 400, DeadlineMillis: 4000},
		{Name: "redemption", Service: "bonoseguro/ordenes", Method: http.MethodPost, Path: "/redemptions", Weight: 6, NonIdempotent: true, BodyBytes: 300, DeadlineMillis: 4000},
	}}
}

// Kigali is the mix of the branches of the Kigali Consortium.
func Kigali() Mix {
	return Mix{Name: "kigali", Kinds: []Kind{
		{Name: "lookup", Service: "library/search-desk", Method: http.MethodGet, Path: "/catalogue?title={n}", Weight: 60, DeadlineMillis: 1000},
		{Name: "loan", Service: "library/loan-ledger", Method: http.MethodPost, Path: "/loans", Weight: 14, NonIdempotent: true, BodyBytes: 350, DeadlineMillis: 6000},
		{Name: "transfer", Service: "library/loan-ledger", Method: http.MethodPost, Path: "/transfers", Weight: 6, NonIdempotent: true, BodyBytes: 250, DeadlineMillis: 6000},
		{Name: "holdings", Service: "library/holdings-digest", Method: http.MethodGet, Path: "/holdings/{n}", Weight: 20, DeadlineMillis: 6000},
	}}
}

// ParseMix returns the preset that text names, or else decodes a mix from JSON.
// The error names the field and what is allowed.
func ParseMix(text []byte) (Mix, error) {
	switch strings.TrimSpace(string(text)) {
	case "bonoseguro":
		return Bonoseguro(), nil
	case "kigali":
		return Kigali(), nil
	}
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	var mix Mix
	if err := decoder.Decode(&mix); err != nil {
		return Mix{}, errors.Wrap(err, "mix: want bonoseguro, kigali or a JSON object")
	}
	return mix, mix.check()
}

func (m Mix) check() error {
	names := map[string]bool{}
	for i, k := range m.Kinds {
		if k.Name == "" || names[k.Name] {
			return errors.Newf("mix: kinds[%d].name %q: want a name that is not empty and unique in the mix", i, k.Name)
		}
		names[k.Name] = true
		if _, err := place.ParseService(string(k.Service)); err != nil {
			return errors.Wrapf(err, "mix: kinds[%d].service", i)
		}
		if k.Weight < 1 || k.DeadlineMillis < 1 || !strings.HasPrefix(k.Path, "/") {
			return errors.Newf("mix: kind %s: want weight and deadline_ms of 1 or more and a path that begins with /", k.Name)
		}
	}
	if len(m.Kinds) == 0 {
		return errors.New("mix: kinds: want one or more")
	}
	return nil
}

// ForService returns the mix with the kinds of one service.
func (m Mix) ForService(service place.Service) (Mix, error) {
	only := Mix{Name: m.Name}
	for _, k := range m.Kinds {
		if k.Service == service {
			only.Kinds = append(only.Kinds, k)
		}
	}
	return only, only.check()
}

func (m Mix) pick(random *rand.Rand) *Kind {
	total := 0
	for _, k := range m.Kinds {
		total += k.Weight
	}
	at := random.IntN(total)
	for i := range m.Kinds {
		at -= m.Kinds[i].Weight
		if at < 0 {
			return &m.Kinds[i]
		}
	}
	return &m.Kinds[0]
}

func (k *Kind) path(number int) string {
	return strings.ReplaceAll(k.Path, "{n}", strconv.Itoa(number))
}
