package manage_test

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"testing/fstest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/endivechute/endivechute/logs"
	"github.com/endivechute/endivechute/manage"
	"github.com/endivechute/endivechute/place"
	"github.com/endivechute/endivechute/plat"
	"github.com/endivechute/endivechute/store"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "4305", "rapid.checks": "300"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

const searchDesk = "teams/library/search-desk"

// fixture is a platform and an operator that prints to a buffer.
type fixture struct {
	*manage.Operator
	t      *testing.T
	server *plat.Server
	out    *bytes.Buffer
}

func newFixture(t *testing.T, token string) *fixture {
	t.Helper()
	server := plat.New(logs.Discard())
	if err := server.Listen("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = server.Close() })
	return on(t, server, "ana", token)
}

func on(t *testing.T, server *plat.Server, author, token string) *fixture {
	client := store.NewClient(server.Addr(), token)
	t.Cleanup(client.Close)
	out := &bytes.Buffer{}
	now := func() time.Time { return time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC) }
	operator := manage.New(client, author, out, now).WithConfirm(10*time.Second, 10*time.Millisecond)
	return &fixture{Operator: operator, t: t, server: server, out: out}
}

// set calls PolicySet and fails the test unless it gives the outcome and prints
// the text.
func (f *fixture) set(path, body string, ifVersion uint64, want manage.Outcome, text string) manage.Report {
	f.t.Helper()
	report, err := f.PolicySet(context.Background(), path, []byte(body), ifVersion)
	if err != nil || report.Outcome() != want || !strings.Contains(f.out.String(), text) {
		f.t.Fatalf("PolicySet of %s gave outcome %d, %v, printed:\n%s\nwant outcome %d with %q", path, report.Outcome(), err, f.out, want, text)
	}
	f.out.Reset()
	return report
}

func TestPolicySetTellsOfAConflict(t *testing.T) {
	ana := newFixture(t, "")
	bruno := on(t, ana.server, "bruno", "")
	first := ana.set(searchDesk, `{"slots":4}`, 0, manage.OutcomeAccepted, "accepted: teams/library/search-desk is at version 1")
	second := bruno.set(searchDesk, `{"slots":5}`, first.Version(), manage.OutcomeAccepted, "-   \"slots\": 4\n+   \"slots\": 5")
	ana.set(searchDesk, `{"slots":6}`, first.Version(), manage.OutcomeConflict, "version 2 by bruno")
	ana.set(searchDesk, `{"slots":6}`, first.Version(), manage.OutcomeConflict, "-   \"slots\": 6\n+   \"slots\": 5")
	ana.set(searchDesk, `{"slots":5}`, second.Version(), manage.OutcomeUnchanged, "unchanged")
	ana.set(searchDesk, `{"slots":0}`, second.Version(), manage.OutcomeRefused, "slots: 0 is given")
	ana.set("teams/library", `{"cap_percent":10}`, 0, manage.OutcomeAccepted, "accepted")
	ana.set(searchDesk, `{"diversions":[{"from":"kigali","to":"huye","percent":11}]}`, second.Version(), manage.OutcomeRefused, "no more than 10 percent may leave")
}

func TestPolicyGetGivesWhatSetTakes(t *testing.T) {
	f := newFixture(t, "")
	f.set(searchDesk, `{"slots":4,"cap_percent":10}`, 0, manage.OutcomeAccepted, "accepted")
	if err := f.PolicyGet(context.Background(), searchDesk); err != nil {
		t.Fatal(err)
	}
	text := f.out.String()
	f.out.Reset()
	if !strings.Contains(text, "# version 1 by ana at 2026-03-01T08:00:00Z") {
		t.Errorf("PolicyGet printed:\n%s", text)
	}
	f.set(searchDesk, strings.Replace(text, "4", "5", 1), 1, manage.OutcomeAccepted, "\"slots\": 5")
	if err := f.PolicyGet(context.Background(), "teams/library/none"); err == nil {
		t.Error("PolicyGet of missing settings gave no error")
	}
}

func TestLostRepliesAreSettled(t *testing.T) {
	f := newFixture(t, "")
	f.server.SetFaults(plat.Faults{LoseReplies: 1})
	f.set(searchDesk, `{"slots":4}`, 0, manage.OutcomeAccepted, "a reply was lost; the store confirmed the change")
	f.server.SetFaults(plat.Faults{Down: true})
	hasty := f.WithConfirm(50*time.Millisecond, 10*time.Millisecond)
	if _, err := hasty.PolicySet(context.Background(), searchDesk, []byte(`{}`), 1); err == nil || !strings.Contains(err.Error(), "nothing was written") {
		t.Errorf("with the store down PolicySet gave %v", err)
	}
}

func TestPolicyDelete(t *testing.T) {
	tests := map[string]struct {
		faults  plat.Faults
		version uint64
		want    manage.Outcome
		text    string
	}{
		"plain":       {plat.Faults{}, 1, manage.OutcomeAccepted, "is deleted in version 2"},
		"old version": {plat.Faults{}, 7, manage.OutcomeConflict, "is at version 1 by ana, not at 7"},
		"lost reply":  {plat.Faults{LoseReplies: 1}, 1, manage.OutcomeUnchanged, "may have been another command"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, "")
			f.set(searchDesk, `{}`, 0, manage.OutcomeAccepted, "")
			f.server.SetFaults(test.faults)
			report, err := f.PolicyDelete(context.Background(), searchDesk, test.version)
			if err != nil || report.Outcome() != test.want || !strings.Contains(report.Text(), test.text) {
				t.Errorf("PolicyDelete gave outcome %d, %v: %s", report.Outcome(), err, report.Text())
			}
		})
	}
}

func TestTokensKeepTeamsApart(t *testing.T) {
	f := newFixture(t, "library-token")
	f.server.SetTokens(map[string]string{"library-token": "teams/library", "bonds-token": "teams/bonoseguro"})
	f.set(searchDesk, `{}`, 0, manage.OutcomeAccepted, "accepted")
	f.set("teams/bonoseguro/saldos", `{}`, 0, manage.OutcomeRefused, "the token may not write here")
	f.set("fleet", `{}`, 0, manage.OutcomeRefused, "the token may not write here")
	puts := f.server.Counts()[plat.KindPut]
	own := f.ForTeam("library")
	for path, allowed := range map[string]bool{"teams/library": true, "teams/library/x": true, "teams/library-two": false, "teams/bonoseguro/saldos": false, "fleet": false} {
		_, err := own.PolicySet(context.Background(), path, []byte(`{}`), 0)
		if allowed != (err == nil) {
			t.Errorf("for team library, a write of %s gave %v, want allowed %v", path, err, allowed)
		}
	}
	if more := f.server.Counts()[plat.KindPut] - puts; more != 2 {
		t.Errorf("%d writes reached the store, want 2", more)
	}
}

func TestPolicyEditAndTree(t *testing.T) {
	f := newFixture(t, "")
	f.set("teams/library", `{"deadline_ms":900,"cap_percent":30}`, 0, manage.OutcomeAccepted, "")
	f.set(searchDesk, `{"slots":4}`, 0, manage.OutcomeAccepted, "")
	texts := []string{"regions.kigali.slots=3", "slots=", `leaving=["t1"]`}
	assignments := make([]manage.Assignment, 0, len(texts))
	for _, text := range texts {
		a, err := manage.ParseAssignment(text)
		if err != nil {
			t.Fatal(err)
		}
		assignments = append(assignments, a)
	}
	if report, err := f.PolicyEdit(context.Background(), searchDesk, assignments); err != nil || report.Err() != nil {
		t.Fatal(err, report.Text())
	}
	f.out.Reset()
	if err := f.PolicyTree(context.Background(), "library"); err != nil {
		t.Fatal(err)
	}
	want := `library/search-desk  version 3 by ana at 2026-03-01T08:00:00Z
  deadline_ms        900      teams/library
  slots              4        default
  connections        64       default
  cap_percent        30       teams/library
  step_percent       5        default
  hedge_percent      5        default
  retry_percent      10       default
  answer_bytes_max   1048576  default
  leaving            t1
  in kigali
    slots  3  teams/library/search-desk regions.kigali
`
	if f.out.String() != want {
		t.Errorf("PolicyTree printed:\n%s\nwant:\n%s", f.out, want)
	}
	if _, err := manage.ParseAssignment("slots"); err == nil {
		t.Error("ParseAssignment gave no error for an assignment without =")
	}
}

func TestDrain(t *testing.T) {
	const service = place.Service("library/search-desk")
	tests := map[string]struct {
		drain manage.Drain
		want  string
	}{
		"target":      {manage.Drain{Service: service, Target: "t1"}, "+     \"t1\""},
		"zone":        {manage.Drain{Service: service, Zone: "kigali/a"}, "\"kigali/a\""},
		"region":      {manage.Drain{Service: service, Region: "kigali", To: "huye"}, "\"percent\": 30"},
		"region part": {manage.Drain{Service: service, Region: "kigali", To: "huye", Percent: 12}, "\"percent\": 12"},
		"above cap":   {manage.Drain{Service: service, Region: "kigali", To: "huye", Percent: 31}, "refused: nothing was written"},
		"two":         {manage.Drain{Service: service, Region: "kigali", To: "huye", Target: "t1"}, "want exactly one"},
		"nowhere":     {manage.Drain{Service: service, Region: "kigali"}, "want the one that receives"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, "")
			f.set("teams/library", `{"cap_percent":30}`, 0, manage.OutcomeAccepted, "")
			f.set(searchDesk, `{"slots":4}`, 0, manage.OutcomeAccepted, "")
			report, err := f.Drain(context.Background(), test.drain)
			if text := fmt.Sprint(report.Text(), err); !strings.Contains(text, test.want) {
				t.Fatalf("Drain printed %s, want %q", text, test.want)
			}
			if report.Outcome() != manage.OutcomeAccepted {
				return
			}
			test.drain.Undo = true
			if undo, err := f.Drain(context.Background(), test.drain); err != nil || undo.Err() != nil {
				t.Fatal(err, undo.Text())
			}
			f.out.Reset()
			if err := f.PolicyGet(context.Background(), searchDesk); err != nil || !strings.HasPrefix(f.out.String(), "{\n  \"slots\": 4\n}\n") {
				t.Errorf("after the drain was reverted, PolicyGet gave %v:\n%s", err, f.out)
			}
		})
	}
}

func TestStatus(t *testing.T) {
	f := newFixture(t, "")
	f.set(searchDesk, `{"slots":4}`, 0, manage.OutcomeAccepted, "")
	serve := func(version int) string {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = fmt.Fprintf(w, `{"instance":"e%d","zone":"kigali/a","settings":{"ready":true,"highest_version":%d,"confirmed_age_ms":1500,"objects":[{"path":"%s","version":%d}]}}`, version, version, searchDesk, version)
		}))
		t.Cleanup(server.Close)
		return strings.TrimPrefix(server.URL, "http://")
	}
	current, old := serve(1), serve(0)
	if err := f.Status(context.Background(), []string{current}); err != nil || !strings.Contains(f.out.String(), "1.5s ago") {
		t.Errorf("Status gave %v:\n%s", err, f.out)
	}
	err := f.Status(context.Background(), []string{current, old, "127.0.0.1:1"})
	if err == nil || !strings.Contains(err.Error(), "2 of 3") || !strings.Contains(f.out.String(), "none in 1, version 1 in 1") {
		t.Errorf("Status gave %v:\n%s", err, f.out)
	}
}

func TestPolicyCheck(t *testing.T) {
	for _, name := range []string{"bonoseguro", "kigali"} {
		f := newFixture(t, "")
		if err := f.PolicyCheck(os.DirFS("../examples/" + name)); err != nil || strings.Count(f.out.String(), "ok ") != 5 {
			t.Errorf("%s: %v\n%s", name, err, f.out)
		}
	}
	f := newFixture(t, "")
	err := f.PolicyCheck(fstest.MapFS{
		"teams/a.json":   {Data: []byte(`{"cap_percent":5}`)},
		"teams/a/x.json": {Data: []byte(`{"diversions":[{"from":"b","to":"c","percent":6}]}`)},
		"other/x.json":   {Data: []byte(`{}`)},
	})
	if err == nil || !strings.Contains(err.Error(), "2 of 3") || !strings.Contains(f.out.String(), "no more than 5 percent") {
		t.Errorf("PolicyCheck gave %v:\n%s", err, f.out)
	}
	if err := f.PolicyCheck(fstest.MapFS{}); err == nil || errors.Is(err, store.ErrConflict) {
		t.Errorf("PolicyCheck of an empty folder gave %v", err)
	}
}
