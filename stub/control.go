package stub

import (
	"encoding/json"
	"net/http"
	"time"
)

// Faults are the faults of one target that can be switched while it runs. A
// body that is posted to /control/faults replaces all of them.
type Faults struct {
	// CloseAfterRun is how many of the next requests run and get no answer.
	CloseAfterRun int `json:"close_after_run"`
	// CutAnswer is how many of the next answers end in the middle.
	CutAnswer int `json:"cut_answer"`
	// SlowMillis is added to the time of each request.
	SlowMillis int `json:"slow_ms"`
	// LieIdle makes the load reports say that nothing runs.
	LieIdle bool `json:"lie_idle"`
	// FreezeLoad makes the load reports repeat the present one.
	FreezeLoad bool `json:"freeze_load"`
	// Leaving makes the load reports say that the target is leaving.
	Leaving bool `json:"leaving"`
	// Down makes the target close each connection without running anything.
	Down bool `json:"down"`
	// ColdMillis makes each request take coldFactor times as long for this
	// time from now.
	ColdMillis int `json:"cold_ms"`
}

// Execution is one request that a target began to run. Times are in
// milliseconds since 1970; ended_ms is 0 while it runs.
type Execution struct {
	Key         string `json:"key"`
	Request     string `json:"request"`
	Target      string `json:"target"`
	BeganMillis int64  `json:"began_ms"`
	EndedMillis int64  `json:"ended_ms"`
	Canceled    bool   `json:"canceled"`
}

// Log is what a target ran since it was started.
type Log struct {
	Executions []Execution `json:"executions"`
	// MostRunning is the greatest number of requests that ran at once.
	MostRunning int `json:"most_running"`
	// Shed is how many requests were refused before they ran.
	Shed int `json:"shed"`
	// LeavingMillis is when the target announced that it is leaving, or 0.
	LeavingMillis int64 `json:"leaving_ms"`
}

type load struct {
	Running     int  `json:"running"`
	Slots       int  `json:"slots"`
	Connections int  `json:"connections"`
	Leaving     bool `json:"leaving"`
	Healthy     bool `json:"healthy"`
}

func (t *target) serveLoad(w http.ResponseWriter, _ *http.Request) {
	t.mutex.Lock()
	report := t.loadLocked()
	if t.faults.FreezeLoad {
		report = t.frozen
	}
	if t.faults.LieIdle {
		report.Running = 0
	}
	down := t.faults.Down
	t.mutex.Unlock()
	if down {
		panic(http.ErrAbortHandler)
	}
	reply(w, report)
}

func (t *target) loadLocked() load {
	return load{
		Running:     t.running,
		Slots:       t.slotsMax,
		Connections: len(t.connections),
		Leaving:     t.faults.Leaving,
		Healthy:     true,
	}
}

func (t *target) serveLog(w http.ResponseWriter, _ *http.Request) {
	t.mutex.Lock()
	log := Log{Executions: append([]Execution{}, t.log...), MostRunning: t.mostRunning, Shed: t.shed}
	if !t.leavingAt.IsZero() {
		log.LeavingMillis = t.leavingAt.UnixMilli()
	}
	t.mutex.Unlock()
	reply(w, log)
}

func (t *target) serveFaults(w http.ResponseWriter, r *http.Request) {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, bodyBytesMax))
	decoder.DisallowUnknownFields()
	var faults Faults
	if err := decoder.Decode(&faults); err != nil {
		http.Error(w, "faults: "+err.Error(), http.StatusBadRequest)
		return
	}
	t.setFaults(faults, time.Now())
	reply(w, faults)
}

func (t *target) setFaults(faults Faults, now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.frozen = t.loadLocked()
	if faults.Leaving && !t.faults.Leaving {
		t.leavingAt = now
	}
	if faults.ColdMillis > 0 {
		t.coldUntil = now.Add(time.Duration(faults.ColdMillis) * time.Millisecond)
	}
	t.faults = faults
}

func reply(w http.ResponseWriter, body any) {
	text, err := json.Marshal(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(text)
}
