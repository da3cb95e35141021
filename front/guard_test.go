package front

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/endivechute/endivechute/logs"
	"github.com/endivechute/endivechute/platform"
)

// TestGuard: a fault of the program ends a request with an answer that promises
// nothing.
func TestGuard(t *testing.T) {
	s := New(&platform.Settings{}, "", time.Now, logs.Discard())
	w := httptest.NewRecorder()
	q := &request{http: httptest.NewRequest(http.MethodGet, "/", http.NoBody), arrived: time.Now()}
	func() {
		defer s.guard(w, q)
		panic("fault")
	}()
	if w.Code != http.StatusBadGateway || w.Header().Get("Retry-After") != "" {
		t.Errorf("status %d, Retry-After %q; want 502 and none", w.Code, w.Header().Get("Retry-After"))
	}
}
