package proof

import (
	"testing"
	"time"
)

// Guards against callers who are refused because ranks of a group have no agents: engines
// run requests without them, and maps can wait. Agents are killed for good, first all but
// two, which also need new coordinators, then the rest.
func TestGroupServesWithoutItsAgents(t *testing.T) {
	const ranks = 6
	s := newSoak(t, 21, soakSize{entries: 1, groups: 1, ranks: ranks, plainEndpoints: 1})
	c := startCallers(s, 12)
	if s.awaitServed(c) < 0 {
		t.Fatalf("not served %v after the start", soakRecoveryBound)
	}
	left := s.agents
	for _, keep := range []int{2, 0} {
		for _, agent := range left[keep:] {
			s.killNode(agent.id)
		}
		left = left[:keep]
		time.Sleep(soakStableTime)
		if took := s.awaitServed(c); took < 0 || took > 2*servedWindow {
			t.Errorf("%d of %d agents left: not served within %v of asking (%v)", keep, ranks, 2*servedWindow, took)
		}
	}
	c.finish()
}

// Guards against callers who wait at a group that can't run: it lacks one of its engines
// and is never formed again. No agent can help; they are refused at once, as not run.
func TestGroupWithoutAnEngineRefusesAtOnce(t *testing.T) {
	s := newSoak(t, 22, soakSize{entries: 1, groups: 1, ranks: 6, plainEndpoints: 1})
	c := startCallers(s, 12)
	if s.awaitServed(c) < 0 {
		t.Fatalf("not served %v after the start", soakRecoveryBound)
	}
	s.groups[0].Ranks[5].Crash()
	time.Sleep(soakStableTime)
	from := time.Now()
	time.Sleep(2 * time.Second)
	refused := 0
	for _, a := range c.finish() {
		if a.class != "draft" || a.sent.Before(from) || a.status == 401 {
			continue
		}
		if a.status != 503 || a.ended.Sub(a.sent) > 300*time.Millisecond {
			t.Errorf("%s: status %d after %v", a.id, a.status, a.ended.Sub(a.sent))
			continue
		}
		refused++
	}
	if refused == 0 {
		t.Error("no request was refused")
	}
	t.Logf("%d requests refused at once", refused)
}
