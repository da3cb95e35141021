package config_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/endivechute/endivechute/config"
	"github.com/endivechute/endivechute/place"
	"github.com/endivechute/endivechute/store"
)

func ExampleDiff() {
	fmt.Print(config.Diff([]byte(`{"slots": 4, "deadline_ms": 500}`), []byte(`{"slots":7,"deadline_ms":500}`)))
	// Output:
	// -   "slots": 4,
	// +   "slots": 7,
}

func ExampleParsePolicy() {
	_, err := config.ParsePolicy([]byte(`{"slots": 0, "regions": {"huye": {"dedline_ms": 5}}}`))
	fmt.Println(strings.ReplaceAll(err.Error(), "there is no", "no"))
	// Output:
	// policy: regions.huye.dedline_ms: no such field; allowed here: deadline_ms, slots, connections, cap_percent, step_percent, hedge_percent, retry_percent, answer_bytes_max
	// slots: 0 is given; want a whole number from 1 to 100000
}

func TestCheckBody(t *testing.T) {
	const service = "teams/library/search-desk"
	tests := map[string]struct{ path, body, want string }{
		"empty service":     {service, `{}`, ""},
		"full service":      {service, `{"slots":4,"cap_percent":20,"diversions":[{"from":"kigali","to":"huye","percent":20}],"allotments":{"huye/a":5,"huye/b":15},"leaving":["t1"],"leaving_zones":["kigali/a"],"targets":{"t1":{"slots":1}},"regions":{"huye":{"cap_percent":5}},"non_idempotent":[{"method":"POST","path":"/loans*"}],"refused_before_run":[{"status":503,"header":"X-Shed"}]}`, "allotments: they add up to 20"},
		"allotments at cap": {service, `{"cap_percent":20,"allotments":{"huye/a":5,"huye/b":15}}`, ""},
		"team":              {"teams/library", `{"cap_percent":10}`, ""},
		"team with list":    {"teams/library", `{"leaving":["t1"]}`, "leaving: there is no such field"},
		"fleet":             {"fleet", `{"regions":{"kigali":{"in_flight_limit":5}},"links":[{"from":"kigali","to":"huye","mbit_per_s":4000}]}`, ""},
		"fleet link twice":  {"fleet", `{"links":[{"from":"a","to":"b","mbit_per_s":1},{"from":"a","to":"b","mbit_per_s":1}]}`, "links[1]: the link from a to b appears twice"},
		"fleet no limit":    {"fleet", `{"regions":{"kigali":{}}}`, "regions.kigali.in_flight_limit: no valid limit"},
		"fleet loop":        {"fleet", `{"links":[{"from":"a","to":"a","mbit_per_s":1}]}`, "want two different regions"},
		"unknown field":     {service, `{"slot":4}`, "slot: there is no such field"},
		"upper case":        {service, `{"Slots":4}`, "Slots: there is no such field"},
		"field twice":       {service, `{"slots":4,"slots":5}`, "slots: duplicate field"},
		"null":              {service, `{"slots":null}`, "slots: null is given"},
		"text for number":   {service, `{"slots":"4"}`, `slots: "4" is given; want a whole number from 1 to 100000`},
		"fraction":          {service, `{"slots":1.5}`, "slots: 1.5 is given"},
		"not an object":     {service, `[]`, "[] is given; want an object"},
		"two objects":       {service, `{}{}`, "invalid JSON"},
		"truncated":         {service, `{"slots":`, "invalid JSON"},
		"too long":          {service, `"` + strings.Repeat("x", config.ObjectBytesMax) + `"`, "at most 1048576 are allowed"},
		"diversion sum":     {service, `{"cap_percent":10,"diversions":[{"from":"a","to":"b","percent":6},{"from":"a","to":"c","percent":6}]}`, "diversions: 12 percent of the arrivals of a are diverted; at most 10"},
		"region cap":        {service, `{"cap_percent":50,"regions":{"a":{"cap_percent":5}},"diversions":[{"from":"a","to":"b","percent":6}]}`, "at most 5"},
		"diversion twice":   {service, `{"diversions":[{"from":"a","to":"b","percent":6},{"from":"a","to":"b","percent":7}]}`, "the diversion from a to b appears twice"},
		"diversion to self": {service, `{"diversions":[{"from":"a","to":"a","percent":6}]}`, "diversions[0]: from"},
		"bad zone":          {service, `{"allotments":{"kigali":5}}`, "want the form region/zone"},
		"bad target":        {service, `{"leaving":["T 1"]}`, `leaving[0]: target "T 1"`},
		"target field":      {service, `{"targets":{"t1":{"cap_percent":4}}}`, "allowed here: slots, connections"},
		"method":            {service, `{"non_idempotent":[{"method":"post","path":"/x"}]}`, "non_idempotent[0].method"},
		"path":              {service, `{"non_idempotent":[{"method":"POST","path":"x"}]}`, "non_idempotent[0].path"},
		"inner star":        {service, `{"non_idempotent":[{"method":"POST","path":"/*/x"}]}`, "only at the end"},
		"status":            {service, `{"refused_before_run":[{"status":200}]}`, "want a whole number from 400 to 599"},
		"header":            {service, `{"refused_before_run":[{"status":503,"header":"a b"}]}`, "want the name of a header"},
		"bad path":          {"team/library", `{}`, "want fleet, teams/TEAM"},
		"bad service path":  {"teams/library/a/b", `{}`, "service"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			err := config.CheckBody(test.path, []byte(test.body))
			if (err == nil) != (test.want == "") || (err != nil && !strings.Contains(err.Error(), test.want)) {
				t.Errorf("CheckBody gave %v, want an error with %q", err, test.want)
			}
		})
	}
}

// object returns a store object with the body in an envelope.
func object(t testing.TB, path string, version uint64, body string) store.Object {
	t.Helper()
	envelope := config.NewEnvelope(nil, "ana", fmt.Sprintf("change-%d", version), time.Unix(0, 0), []byte(body))
	value, err := envelope.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return store.NewObject(path, version, value, false)
}

func TestInheritanceAndOrigins(t *testing.T) {
	tables, outcomes := config.NewTables("kigali", nil).Apply([]store.Object{
		object(t, "teams/library", 3, `{"deadline_ms":900,"slots":9,"cap_percent":10,"regions":{"kigali":{"slots":8,"retry_percent":1}},"refused_before_run":[{"status":503}]}`),
		object(t, "teams/library/search-desk", 7, `{"slots":4,"regions":{"kigali":{"deadline_ms":300}},"targets":{"t1":{"slots":2}},"diversions":[{"from":"kigali","to":"huye","percent":15},{"from":"kigali","to":"musanze","percent":5}]}`),
	}, time.Unix(5, 0))
	for _, o := range outcomes {
		if o.Kind() != config.OutcomeAccepted {
			t.Fatalf("%s: %v", o.Path(), o.Problem())
		}
	}
	policy, found := tables.Policy("library/search-desk")
	if !found {
		t.Fatal("the service has no policy")
	}
	got := map[string]string{}
	for _, field := range []config.Field{config.FieldDeadline, config.FieldSlots, config.FieldCapPercent, config.FieldRetryPercent, config.FieldHedgePercent} {
		value := policy.Value(field)
		got[field.String()] = fmt.Sprintf("%v from %s version %d", value.Number(), value.Origin(), value.Origin().Version())
	}
	want := map[string]string{
		"deadline_ms":   "300 from teams/library/search-desk regions.kigali version 7",
		"slots":         "4 from teams/library/search-desk version 7",
		"cap_percent":   "10 from teams/library version 3",
		"retry_percent": "1 from teams/library regions.kigali version 3",
		"hedge_percent": "5 from default version 0",
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	if policy.SlotsOf("t1") != 2 || policy.SlotsOf("t2") != 4 || len(policy.RefusedBeforeRun()) != 1 {
		t.Errorf("slots are %d and %d, refusals %v", policy.SlotsOf("t1"), policy.SlotsOf("t2"), policy.RefusedBeforeRun())
	}
	if d := policy.Diversions(); d[0].Percent() != 7.5 || d[1].Percent() != 2.5 {
		t.Errorf("diversions above the inherited cap of 10 are in force as %v", d)
	}
	if err := tables.CheckCaps("library/search-desk"); err == nil || !strings.Contains(err.Error(), "diversions[0]: 15 percent") {
		t.Errorf("CheckCaps gave %v", err)
	}
	inHuye, _ := tables.PolicyIn("library/search-desk", "huye")
	if inHuye.Deadline() != 900*time.Millisecond || inHuye.CapPercentOf("kigali") != 10 {
		t.Errorf("in huye the deadline is %v", inHuye.Deadline())
	}
}

func TestEnvelopeKeepsRecentChanges(t *testing.T) {
	var envelope *config.Envelope
	for i := range config.RecentChangesMax + 1 {
		envelope = config.NewEnvelope(envelope, "ana", fmt.Sprintf("c%d", i), time.Unix(0, 0), []byte(`{}`))
	}
	text, err := envelope.Encode()
	if err != nil {
		t.Fatal(err)
	}
	parsed, err := config.ParseEnvelope(text)
	if err != nil || parsed.Includes("c0") || !parsed.Includes("c1") || !parsed.Includes("c32") {
		t.Errorf("ParseEnvelope gave %+v, %v", parsed, err)
	}
	for name, bad := range map[string]string{
		"bare body":  `{"slots":4}`,
		"schema":     `{"schema":2,"author":"a","change_id":"c","recent_changes":["c"],"body":{}}`,
		"no author":  `{"schema":1,"change_id":"c","recent_changes":["c"],"body":{}}`,
		"not recent": `{"schema":1,"author":"a","change_id":"c","recent_changes":["d"],"body":{}}`,
		"no body":    `{"schema":1,"author":"a","change_id":"c","recent_changes":["c"]}`,
	} {
		if _, err := config.ParseEnvelope([]byte(bad)); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}

// FuzzObject parses arbitrary bytes as an envelope, as the settings of the fleet
// and as those of a service. No input may panic. Settings that pass CheckBody
// must come into force, with diversions within the caps and values in their
// ranges.
func FuzzObject(f *testing.F) {
	for _, seed := range []string{
		`{"slots":4,"cap_percent":20,"diversions":[{"from":"kigali","to":"huye","percent":20}]}`,
		`{"regions":{"huye":{"cap_percent":5}},"targets":{"t1":{"slots":1}},"allotments":{"huye/a":5}}`,
		`{"non_idempotent":[{"method":"POST","path":"/loans*"}],"refused_before_run":[{"status":503,"header":"X-Shed"}]}`,
		`{"slots":1e400}`, `{"slots":4,"slots":4}`, `[[[[`, `{"leaving":["a","a"]}`, `null`,
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		_ = config.CheckBody("fleet", []byte(text))
		_, _ = config.ParseEnvelope([]byte(text))
		if config.CheckBody("teams/a/b", []byte(text)) != nil {
			return
		}
		tables, outcomes := config.NewTables("kigali", nil).Apply([]store.Object{object(t, "teams/a/b", 1, text)}, time.Unix(0, 0))
		policy, found := tables.Policy("a/b")
		if !found {
			t.Fatalf("CheckBody accepts the body but Apply refused it: %v", outcomes[0].Problem())
		}
		sums := map[place.Region]float64{}
		for _, d := range policy.Diversions() {
			sums[d.From()] += d.Percent()
		}
		for from, sum := range sums {
			if sum > policy.CapPercentOf(from)+1e-6 {
				t.Errorf("%v percent of the arrivals of %s are diverted, above the cap %v", sum, from, policy.CapPercentOf(from))
			}
		}
		if policy.Slots() < 1 || policy.Deadline() <= 0 || policy.AnswerBytesMax() < 1 {
			t.Errorf("a value is out of its range: %v", policy)
		}
	})
}
