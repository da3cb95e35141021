package stub

import (
	"encoding/json"
	"net/http"
	"time"
)

// Faults are the faults that a target injects. A POST to /control/faults replaces
// all of them at run time.
type Faults struct {
	// CloseAfterRun is how many of the next requests run without an answer: the
	// target closes the connection instead.
	CloseAfterRun int `json:"close_after_run"`
	// CutAnswer is how many of the next answers are truncated.
	CutAnswer int `json:"cut_answer"`
	// SlowMillis is added to the service time of each request.
	SlowMillis int `json:"slow_ms"`
	// ReportIdle makes the load reports claim that no requests are running.
	ReportIdle bool `json:"lie_idle"`
	// FreezeLoad makes the load reports repeat the load at the time of the POST.
	FreezeLoad bool `json:"freeze_load"`
	// Leaving makes the load reports announce that the target is leaving.
	Leaving bool `json:"leaving"`
	// Down makes the target close the connection of each request or load report
	// without an answer, and run nothing.
	Down bool `json:"down"`
	// ColdMillis multiplies the service time by coldFactor for this long from the
	// time of the POST.
	ColdMillis int `json:"cold_ms"`
	// Limit, if set, is the value of the header Server-Limit in all answers, the
	// requests per second that the target takes. Nothing beyond it is rejected.
	Limit string `json:"limit"`
	// CrashPath, if set, is the path of requests under which the target crashes: it
	// closes its port and all connections, and listens again after crashTime.
	CrashPath string `json:"crash_path"`
}

// Execution is a request that a target started to run. Times are in Unix
// milliseconds; ended_ms is 0 while it runs.
type Execution struct {
	Key         string `json:"key"`
	Request     string `json:"request"`
	Target      string `json:"target"`
	BeganMillis int64  `json:"began_ms"`
	EndedMillis int64  `json:"ended_ms"`
	Canceled    bool   `json:"canceled"`
}

// Log is the record of what a target ran since it started.
type Log struct {
	Executions []Execution `json:"executions"`
	// MostRunning is the highest number of requests that ran concurrently.
	MostRunning int `json:"most_running"`
	// Shed is the number of requests that were rejected before they ran.
	Shed int `json:"shed"`
	// LeavingMillis is when the target announced that it is leaving, in Unix
	// milliseconds, or 0.
	LeavingMillis int64 `json:"leaving_ms"`
}

type loadReport struct {
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
		report = t.frozenLoad
	}
	if t.faults.ReportIdle {
		report.Running = 0
	}
	down := t.faults.Down
	t.mutex.Unlock()
	if down {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, report)
}

func (t *target) loadLocked() loadReport {
	return loadReport{
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
	writeJSON(w, log)
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
	writeJSON(w, faults)
}

func (t *target) setFaults(faults Faults, now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.frozenLoad = t.loadLocked()
	if faults.Leaving && !t.faults.Leaving {
		t.leavingAt = now
	}
	if faults.ColdMillis > 0 {
		t.coldUntil = now.Add(time.Duration(faults.ColdMillis) * time.Millisecond)
	}
	t.faults = faults
}

func writeJSON(w http.ResponseWriter, body any) {
	text, err := json.Marshal(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(text)
}
