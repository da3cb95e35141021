package peers

import (
	"time"

	"github.com/endivechute/endivechute/poison"
	"github.com/endivechute/endivechute/wire"
)

// suspectsMax and crashesMax limit the suspects in a heartbeat and their crashes, which
// then take up to 6 KB of it.
const (
	suspectsMax = 32
	crashesMax  = 80
)

// SuspectNews returns what a heartbeat tells of requests that targets had when they
// crashed.
func SuspectNews(guard *poison.Guard, now time.Time) []wire.Suspect {
	news := guard.News(suspectsMax, now)
	suspects, crashes := make([]wire.Suspect, 0, len(news)), 0
	for _, n := range news {
		if crashes += len(n.Crashes); crashes > crashesMax {
			break
		}
		told := wire.Suspect{Fingerprint: uint64(n.Fingerprint), Cleared: n.Cleared, ClearedAgeMillis: n.ClearedAge.Milliseconds(), Successive: n.Successive}
		for _, c := range n.Crashes {
			told.Crashes = append(told.Crashes, wire.Crash{
				Process: c.Process, AgeMillis: c.Age.Milliseconds(), RanMillis: c.Ran.Milliseconds(), Target: c.Target, Witness: c.Witness,
			})
		}
		suspects = append(suspects, told)
	}
	return suspects
}

// HearSuspects takes in the suspects in another instance's heartbeat. It reports
// whether it is new of a request that more than one target crashed under, and which requests are quarantined from now on. If relay
// is set, what is new is told on.
func HearSuspects(guard *poison.Guard, heartbeat *wire.Heartbeat, relay bool, now time.Time) (urgent bool, quarantined []poison.Fingerprint) {
	for _, told := range heartbeat.Suspects[:min(len(heartbeat.Suspects), suspectsMax)] {
		heard := poison.Suspect{Fingerprint: poison.Fingerprint(told.Fingerprint), Cleared: told.Cleared, ClearedAge: time.Duration(told.ClearedAgeMillis) * time.Millisecond, Successive: told.Successive}
		for _, c := range told.Crashes {
			heard.Crashes = append(heard.Crashes, poison.Crash{
				Process: c.Process, Age: time.Duration(c.AgeMillis) * time.Millisecond, Ran: time.Duration(c.RanMillis) * time.Millisecond,
				Target: c.Target, Witness: c.Witness,
			})
		}
		isNew, isQuarantined := guard.Hear(heard, relay, now)
		urgent = urgent || isNew && guard.Repeated(heard.Fingerprint)
		if isQuarantined {
			quarantined = append(quarantined, heard.Fingerprint)
		}
	}
	return urgent, quarantined
}
