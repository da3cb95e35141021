package errs_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/endivechute/endivechute/errs"
)

func ExampleNotRun() {
	err := errs.NotRun(errs.ReasonTargetBusy, 50*time.Millisecond, "all %d slots are taken", 4)
	fmt.Println(err)
	// Output: not-run (target-busy): all 4 slots are taken
}

func TestVerdictOf(t *testing.T) {
	tests := map[string]struct {
		err  error
		want errs.Verdict
	}{
		"unjudged":      {errors.New("reset"), errs.VerdictMayHaveRun},
		"not run":       {errs.NotRun(errs.ReasonNoTarget, 0, "none"), errs.VerdictNotRun},
		"wrapped":       {errors.Wrap(errs.NotRun(errs.ReasonNoTarget, 0, "none"), "forward"), errs.VerdictNotRun},
		"may have run":  {errs.MayHaveRun(errs.ReasonCutAnswer, "cut"), errs.VerdictMayHaveRun},
		"no error kind": {fmt.Errorf("plain"), errs.VerdictMayHaveRun},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := errs.VerdictOf(test.err); got != test.want {
				t.Errorf("VerdictOf(%v) = %v, want %v", test.err, got, test.want)
			}
		})
	}
}

func TestParseVerdict(t *testing.T) {
	for _, v := range []errs.Verdict{errs.VerdictMayHaveRun, errs.VerdictNotRun, errs.VerdictRan} {
		got, err := errs.ParseVerdict(v.String())
		if err != nil || got != v {
			t.Errorf("ParseVerdict(%q) = %v, %v", v, got, err)
		}
	}
	if _, err := errs.ParseVerdict("maybe"); err == nil {
		t.Error("ParseVerdict(maybe) returned no error")
	}
}
