package quarantine

import (
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/wasabinotch/wasabinotch/wire"
)

// newTracker returns a tracker and the reports that it shares.
func newTracker() (*Tracker, *[]wire.QuarantineReport) {
	var shared []wire.QuarantineReport
	return New(func(r wire.QuarantineReport) { shared = append(shared, r) }), &shared
}

// answer sends a prompt whose answer begins.
func answer(t *testing.T, tr *Tracker, parts ...string) {
	t.Helper()
	a, retryAfter := tr.Begin("s", parts, "e0", func(error) {})
	if a == nil {
		t.Fatalf("parts %v are held for %v", parts, retryAfter)
	}
	a.Began()
}

// held reports whether a prompt with the parts is refused.
func held(tr *Tracker, parts ...string) bool { return tr.RetryAfter("s", parts) > 0 }

// Guards against holding the parts that a deadly one shares its prompts with.
func TestOnlyTheUnprovenPartIsHeldAfterACrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tr, shared := newTracker()
		answer(t, tr, "sound")
		tr.ReportCrash("e1", "s", []string{"sound", "deadly"})
		is.True(held(tr, "sound", "deadly"))
		is.True(!held(tr, "sound"))
		is.Equal((*shared)[0].Parts, []string{"sound", "deadly"})
		is.Equal(tr.Holds()[0].Part, "deadly")
		time.Sleep(firstHold - time.Second)
		is.True(held(tr, "deadly"))
		is.True(tr.RetryAfter("other-service", []string{"deadly"}) == 0)
	})
}

// Guards against refusing a part at one entry for long although it was answered at another.
func TestProofAtAnotherEntryNarrowsTheSuspects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		here, shared := newTracker()
		there, _ := newTracker()
		answer(t, there, "sound")
		here.ReportCrash("e1", "s", []string{"sound", "deadly"})
		is.True(held(here, "sound") && len(here.Holds()) == 0) // either may be deadly
		proven := there.Receive((*shared)[0])
		is.Equal(proven, []string{"sound"})
		here.Receive(wire.QuarantineReport{Service: "s", Proven: proven})
		is.True(!held(here, "sound"))
		is.Equal(len(here.Holds()), 1)
		is.Equal(len(there.Holds()), 1)
	})
}

// Guards against trials by prompts that can't tell suspects apart, and by several prompts at once.
func TestSuspectsAreTriedOneByOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tr, _ := newTracker()
		tr.ReportCrash("e1", "s", []string{"a", "b"})
		is.True(held(tr, "a"))
		time.Sleep(maxJitter * ambiguousHold)
		is.True(held(tr, "a", "b")) // its crash would blame both
		trial, _ := tr.Begin("s", []string{"a"}, "e2", func(error) {})
		is.True(trial != nil)
		is.True(held(tr, "a"))
		trial.Began()
		is.True(!held(tr, "a"))
		is.True(held(tr, "b") && len(tr.Holds()) == 1) // the only suspect left
	})
}

// Guards against a trial whose result is unknown and that blocks its part for good.
func TestInconclusiveTrialAllowsAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tr, _ := newTracker()
		tr.ReportCrash("e1", "s", []string{"a"})
		time.Sleep(maxJitter * firstHold)
		trial, _ := tr.Begin("s", []string{"a"}, "e2", func(error) {})
		trial.End()
		trial, _ = tr.Begin("s", []string{"a"}, "e2", func(error) {})
		is.True(trial != nil)
		tr.ReportCrash("e2", "s", []string{"a"})
		trial.End()
		time.Sleep(repeatedHold - time.Second)
		is.True(held(tr, "a"))
	})
}

// Guards against a part that was sound for a long time and crashes endpoints from now on.
func TestProvenPartIsHeldAfterSeveralCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tr, _ := newTracker()
		answer(t, tr, "popular", "turned")
		for i := range crashesIfProven {
			is.True(!held(tr, "popular", "turned"))
			answer(t, tr, "popular")
			tr.ReportCrash(fmt.Sprint("e", i), "s", []string{"popular", "turned"})
			time.Sleep(time.Second) // crashes at one moment may have one cause beside the prompts
		}
		is.True(held(tr, "turned"))
		is.True(!held(tr, "popular"))
	})
}

// Guards against counting a crash once for each request that it broke off.
func TestOneCrashCountsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tr, _ := newTracker()
		answer(t, tr, "popular")
		for range 2 * crashesIfProven {
			tr.ReportCrash("e1", "s", []string{"popular"})
		}
		is.True(!held(tr, "popular"))
	})
}

// Guards against requests that wait at other endpoints and crash these when their part is held already.
func TestHeldPartEndsWaitingAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tr, _ := newTracker()
		var ended error
		_, _ = tr.Begin("s", []string{"deadly"}, "e2", func(err error) { ended = err })
		begun, _ := tr.Begin("s", []string{"deadly2"}, "e2", func(error) { t.Error("an attempt whose answer has begun was ended") })
		begun.Began()
		tr.ReportCrash("e1", "s", []string{"deadly"})
		is.True(errors.Is(ended, ErrHeld))
	})
}

// Guards against holding parts that were only beside a deadly one in its second crash.
func TestPartInMostCrashesIsTheSuspect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tr, _ := newTracker()
		tr.ReportCrash("e1", "s", []string{"a", "deadly"})
		is.Equal(len(tr.Holds()), 0)
		tr.ReportCrash("e2", "s", []string{"b", "deadly", "c"})
		is.Equal(len(tr.Holds()), 1)
		is.Equal(tr.Holds()[0].Part, "deadly")
		is.True(!held(tr, "a") && !held(tr, "b") && !held(tr, "c"))
	})
}

// Guards against blaming other parts for a crash whose cause was ended at this entry just before.
func TestCrashOfAnEndedAttemptIsNotBlamedOnOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tr, shared := newTracker()
		a, _ := tr.Begin("s", []string{"deadly"}, "e2", func(error) {})
		tr.ReportCrash("e1", "s", []string{"deadly"})
		a.End() // its context was cancelled
		time.Sleep(endedAttemptMemory / 2)
		*shared = nil
		tr.Receive(wire.QuarantineReport{Service: "s", Crash: "e2", Parts: []string{"sound"}})
		is.True(!held(tr, "sound"))
		is.True(held(tr, "deadly"))
		is.Equal((*shared)[0], wire.QuarantineReport{Service: "s", Crash: "e2", Parts: []string{"deadly"}})
		b, _ := tr.Begin("s", []string{"left"}, "e3", func(error) {})
		b.End()
		time.Sleep(endedAttemptMemory + time.Millisecond)
		tr.Receive(wire.QuarantineReport{Service: "s", Crash: "e3", Parts: []string{"later"}})
		is.True(held(tr, "later") && !held(tr, "left"))
	})
}

// Guards against counting requests that an endpoint rejected among those that may have crashed it.
func TestRejectedAttemptIsInNoCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tr, _ := newTracker()
		a, _ := tr.Begin("s", []string{"rejected"}, "e1", func(error) {})
		a.Rejected()
		tr.Receive(wire.QuarantineReport{Service: "s", Crash: "e1", Parts: []string{"deadly"}})
		is.True(!held(tr, "rejected"))
		is.Equal(len(tr.Holds()), 1)
	})
}

// Guards against an old record that holds a part which is known to be sound.
func TestRestoreHoldsUnknownPartsOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tr, _ := newTracker()
		answer(t, tr, "sound")
		tr.Restore("s", "sound", 2, false)
		tr.Restore("s", "deadly", 2, false)
		is.True(!held(tr, "sound"))
		time.Sleep(repeatedHold - time.Second)
		is.True(held(tr, "deadly"))
	})
}

// Guards against memory that grows with the number of different parts.
func TestPartsInMemoryAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tr, _ := newTracker()
		tr.ReportCrash("e1", "s", []string{"deadly"})
		for i := range 3 * maxParts {
			answer(t, tr, fmt.Sprint("p", i))
		}
		is.True(len(tr.parts) <= maxParts+1)
		is.True(held(tr, "deadly"))
	})
}

// Guards against closing a service because all endpoints of a zone crash at once: a part
// that all prompts have is the only one in all of the crashes.
func TestCrashesAtOneMomentHoldNoProvenPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tr, _ := newTracker()
		answer(t, tr, "preamble")
		for i := range 2 * crashesIfProven {
			tr.ReportCrash(fmt.Sprint("e", i), "s", []string{"preamble", fmt.Sprint("own", i)})
			time.Sleep(50 * time.Millisecond)
		}
		is.True(!held(tr, "preamble"))
	})
}

// crashRepeatedly has endpoints crash on a part that was proven sound until it is held.
func crashRepeatedly(t *testing.T, tr *Tracker, part string) {
	t.Helper()
	answer(t, tr, part)
	for i := range crashesIfProven {
		time.Sleep(time.Second)
		tr.ReportCrash(fmt.Sprint("e", i), "s", []string{part})
	}
	if !held(tr, part) {
		t.Fatalf("part %s isn't held after %d crashes", part, crashesIfProven)
	}
}

// serviceRecovery is the time within which the users' platform requires that a service
// recovers.
const serviceRecovery = 12 * time.Second

// Guards against closing a service for minutes by a part that its prompts share and that
// was answered before: a request must try it again soon, but ever later if it still
// crashes endpoints.
func TestProvenPartIsTriedAgainSoon(t *testing.T) {
	for _, sound := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			tr, _ := newTracker()
			crashRepeatedly(t, tr, "preamble")
			time.Sleep(serviceRecovery - time.Second)
			trial, _ := tr.Begin("s", []string{"preamble"}, "e9", func(error) {})
			is.True(trial != nil)
			is.True(held(tr, "preamble")) // one at a time
			if sound {
				trial.Began()
				is.True(!held(tr, "preamble"))
				return
			}
			first := tr.RetryAfter("s", []string{"preamble"})
			for i := range 12 {
				tr.ReportCrash(fmt.Sprint("t", i), "s", []string{"preamble"})
				trial.End()
				time.Sleep(tr.RetryAfter("s", []string{"preamble"}))
				trial, _ = tr.Begin("s", []string{"preamble"}, fmt.Sprint("t", i+1), func(error) {})
			}
			tr.ReportCrash("last", "s", []string{"preamble"})
			is.True(tr.RetryAfter("s", []string{"preamble"}) >= repeatedHold)
			is.True(first < tr.RetryAfter("s", []string{"preamble"}))
		})
	}
}

// Guards against ending the attempts whose answers would prove a part sound that was
// answered before.
func TestHeldProvenPartEndsNoWaitingAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tr, _ := newTracker()
		answer(t, tr, "preamble")
		waiting, _ := tr.Begin("s", []string{"preamble"}, "e9", func(error) { t.Error("a waiting attempt was ended") })
		for i := range crashesIfProven {
			time.Sleep(time.Second)
			tr.ReportCrash(fmt.Sprint("e", i), "s", []string{"preamble"})
		}
		is.True(held(tr, "preamble"))
		waiting.Began()
		is.True(!held(tr, "preamble"))
	})
}

// Guards against entries that all try a part at the same time, each at the cost of an
// endpoint, and against one that waits for another's trial for good. The sound ones of
// several suspects must not wait for trials elsewhere: as long as none of them is
// answered, the one that crashes endpoints may be tried.
func TestEntriesTryTheOnlySuspectInTurns(t *testing.T) {
	for _, c := range []struct {
		parts []string
		hold  time.Duration
		turns bool
	}{
		{[]string{"a"}, maxJitter * firstHold, true},
		{[]string{"a", "b"}, maxJitter * ambiguousHold, false},
	} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			here, shared := newTracker()
			there, _ := newTracker()
			here.ReportCrash("e1", "s", c.parts)
			there.Receive((*shared)[0])
			time.Sleep(c.hold)
			*shared = nil
			trial, _ := here.Begin("s", []string{"a"}, "e2", func(error) {})
			is.True(trial != nil)
			is.True(!held(there, "a"))
			for _, r := range *shared {
				there.Receive(r)
			}
			is.Equal(held(there, "a"), c.turns)
			is.True(!held(there, "b"))
			time.Sleep(trialRetryAfter)
			is.True(!held(there, "a")) // the trial was inconclusive, or its entry has ended
		})
	}
}

// Guards against entries that send a prompt with several suspects of a crash once more
// after a restart, and against suspects that stay although they were answered.
func TestSuspectsAreRestored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		before, _ := newTracker()
		before.ReportCrash("e1", "s", []string{"b", "a"})
		crashes := before.Crashes()
		is.Equal(len(crashes), 1)
		is.Equal(crashes[0], Crash{Name: "e1", Service: "s", Suspects: []string{"a", "b"}})

		after, _ := newTracker()
		for range 2 {
			after.RestoreSuspects("s", "e1", crashes[0].Suspects)
		}
		time.Sleep(maxJitter * ambiguousHold)
		is.True(held(after, "a", "b"))
		is.True(!held(after, "a"))
		is.Equal(len(after.Holds()), 0)
		answer(t, after, "a")
		is.True(held(after, "b")) // the only suspect left
		is.Equal(after.Crashes()[0].Suspects, []string{"b"})

		proven, _ := newTracker()
		answer(t, proven, "a")
		proven.RestoreSuspects("s", "e1", crashes[0].Suspects)
		is.True(!held(proven, "a"))
		is.Equal(proven.Unproven("s", crashes[0].Suspects), []string{"b"})

		for _, holdFirst := range []bool{true, false} { // the order of the records in the store
			both, _ := newTracker()
			if holdFirst {
				both.Restore("s", "b", 1, false)
			}
			both.RestoreSuspects("s", "e1", crashes[0].Suspects)
			for range 2 {
				both.Restore("s", "b", 1, false)
			}
			is.Equal(len(both.Holds()), 1)
			is.Equal(both.Holds()[0].Part, "b")
			is.True(both.Holds()[0].Remaining <= maxJitter*firstHold) // one crash, not a repeated one
		}

		missed, _ := newTracker() // a report on the crash was lost
		missed.Receive(wire.QuarantineReport{Service: "s", Crash: "e1", Parts: []string{"a"}})
		is.Equal(len(missed.Holds()), 1)
		missed.RestoreSuspects("s", "e1", crashes[0].Suspects)
		is.Equal(len(missed.Holds()), 0)

		time.Sleep(firstHold + time.Second)
		is.Equal(len(before.Crashes()), 0)
	})
}

// Guards against counting crashes at different moments as one because a report on the
// earlier one comes later.
func TestMomentsCountInAnyOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tr, _ := newTracker()
		answer(t, tr, "preamble", "other")
		for i := range crashesIfProven {
			time.Sleep(crashMoment)
			tr.ReportCrash(fmt.Sprint("e", i), "s", []string{"other"})
		}
		for i := range crashesIfProven {
			is.True(!held(tr, "preamble"))
			tr.Receive(wire.QuarantineReport{Service: "s", Crash: fmt.Sprint("e", crashesIfProven-1-i), Parts: []string{"preamble"}})
		}
		is.True(held(tr, "preamble"))
	})
}

// Guards against a service that stays closed for minutes after a restart of all entries, since
// the record of a hold says nothing of the proofs before it.
func TestRestoredHoldOfAProvenPartIsShort(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		before, _ := newTracker()
		crashRepeatedly(t, before, "preamble")
		h := before.Holds()[0]
		is.Equal(h.Crashes, crashesIfProven)
		after, _ := newTracker()
		after.Restore(h.Service, h.Part, h.Crashes, h.Proven)
		is.True(held(after, "preamble"))
		time.Sleep(serviceRecovery - time.Second)
		answer(t, after, "preamble")
		is.True(!held(after, "preamble"))
	})
}
