package node_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/endivechute/endivechute/load"
)

// The caller begins.

// caller sends requests to one service. It caches the answer of its last look-up.
type caller struct {
	anyEntry string // address of any entry, for look-ups
	service  string
	number   int
	until    time.Time
	answer   struct {
		Entries []struct {
			Address string `json:"address"`
		} `json:"entries"`
		KeyPrefix string `json:"key_prefix"`
		ExpiresIn int64  `json:"expires_in_ms"`
	}
}

// send sends a request and retries it until it ran or ctx ends. With once, the
// request runs at most once: it carries a key, and send returns an error instead
// of retrying if it may have run.
func (c *caller) send(ctx context.Context, method, path, body string, once bool) (string, error) {
	for ctx.Err() == nil {
		if err := c.lookUp(ctx); err != nil {
			return "", err // nothing was sent in this attempt
		}
		key := ""
		if once { // a new key for each attempt, the same for all entries
			c.number++
			key = c.answer.KeyPrefix + "." + strconv.Itoa(c.number)
		}
		verdict, text, wait := c.attempt(ctx, key, method, path, body)
		if verdict == "ran" {
			return text, nil
		}
		if once && verdict != "not-run" {
			return "", errors.New("the request may have run: " + text)
		}
		time.Sleep(wait) // it did not run, or is safe to repeat: retry
	}
	return "", ctx.Err()
}

// attempt sends the request with the same key to one entry after another until
// one responds.
func (c *caller) attempt(ctx context.Context, key, method, path, body string) (verdict, text string, wait time.Duration) {
	for _, entry := range c.answer.Entries {
		request, err := http.NewRequestWithContext(ctx, method, "http://"+entry.Address+"/s/"+c.service+path, strings.NewReader(body))
		if err != nil {
			return "not-run", err.Error(), 0
		}
		if key != "" {
			request.Header.Set("Endivechute-Key", key)
		}
		request.Header.Set("Endivechute-Deadline-Ms", "1000")
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			continue // no response: try the next entry with the same key
		}
		whole, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err != nil {
			continue // incomplete response: try the next entry with the same key
		}
		if response.Header.Get("Endivechute-Lookup") != "" {
			c.until = time.Time{} // look up again before the next request
		}
		milliseconds, _ := strconv.Atoi(response.Header.Get("Endivechute-Come-Back-Ms"))
		return response.Header.Get("Endivechute-Verdict"), string(whole), time.Duration(milliseconds) * time.Millisecond
	}
	return "may-have-run", "no entry gave a verdict", 0
}

// lookUp asks which entries to use, unless the last answer is still valid.
func (c *caller) lookUp(ctx context.Context) error {
	if time.Now().Before(c.until) {
		return nil
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.anyEntry+"/v1/lookup?service="+c.service, http.NoBody)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return errors.New("look-up: " + response.Status)
	}
	if err := json.NewDecoder(response.Body).Decode(&c.answer); err != nil {
		return err
	}
	c.until = time.Now().Add(time.Duration(c.answer.ExpiresIn) * time.Millisecond)
	return nil
}

// The caller ends.

// exampleTB is a testing.TB for examples, so that they can use the test helpers.
type exampleTB struct {
	testing.TB
	cleanups []func()
}

func (*exampleTB) Helper()                {}
func (*exampleTB) Fatal(args ...any)      { panic(fmt.Sprint(args...)) }
func (*exampleTB) Error(args ...any)      { panic(fmt.Sprint(args...)) }
func (t *exampleTB) Cleanup(clean func()) { t.cleanups = append(t.cleanups, clean) }
func (t *exampleTB) end() {
	for i := len(t.cleanups) - 1; i >= 0; i-- {
		t.cleanups[i]()
	}
}

// Example_caller places a loan that must run at most once, and repeats it with
// the key of the first attempt, as a caller does when the response is lost.
func Example_caller() {
	t := &exampleTB{}
	defer t.end()
	f := newFleet(t)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	c := &caller{anyEntry: f.callers[0], service: string(ledger)}
	await(t, func() bool { return f.lookup(t, 0, ledger).KeyPrefix != "" })
	text, err := c.send(ctx, http.MethodPost, "/loans", `{"book":17}`, true)
	fmt.Println("ran:", strings.Contains(text, "ledger-b"), err)
	key := c.answer.KeyPrefix + "." + strconv.Itoa(c.number)
	verdict, again, _ := c.attempt(ctx, key, http.MethodPost, "/loans", `{"book":17}`)
	log, err := load.ReadLog(f.targets.Addr("ledger-b"))
	fmt.Println("repeated:", verdict, again == text, "executions:", len(log.Executions), err)
	// Output:
	// ran: true <nil>
	// repeated: ran true executions: 1 <nil>
}

func TestCallersPageShowsTheExample(t *testing.T) {
	source, err := os.ReadFile("caller_test.go")
	if err != nil {
		t.Fatal(err)
	}
	page, err := os.ReadFile("../docs/CALLERS.md")
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(source), "// The caller begins.\n\n")
	code, _, found := strings.Cut(rest, "// The caller ends.")
	if !found || !strings.Contains(string(page), code) {
		t.Error("docs/CALLERS.md does not show the caller of caller_test.go")
	}
}
