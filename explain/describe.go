package explain

import (
	"fmt"
	"strings"
)

// freshLoad is the age in milliseconds up to which a load counts when an entry
// places a request.
const freshLoad = 1000

// Explain says in words what a request's line means: what the caller got, what
// decided it, and whether it may be sent again.
func Explain(l Line) []string {
	return append([]string{result(l), safety(l)}, details(l)...)
}

func result(l Line) string {
	ms, status, attempts := l.number("ms"), l.number("status"), l.number("attempts")
	head := fmt.Sprintf("status %.0f after %.0f ms: ", status, ms)
	switch l.field("outcome") {
	case "answered":
		if status >= 500 {
			return head + "the endpoint itself answered with this failure; it was passed on unchanged"
		}
		return head + "the endpoint's answer was passed on whole"
	case "overloaded":
		if strings.Contains(l.field("cause"), "shutting down") {
			return head + "refused; the entry was shutting down"
		}
		if attempts > 0 {
			return head + fmt.Sprintf("refused; %.0f endpoints turned it away without running it", attempts)
		}
		return head + fmt.Sprintf("refused for want of room; no endpoint had a free slot in %.0f ms of waiting", l.number("waited_ms"))
	case "no_endpoint":
		return head + "refused; no endpoint of the service could take work: zones out, groups that stand still, or none listed"
	case "endpoint_failed":
		if status == 200 {
			return head + fmt.Sprintf("the answer broke off after %.0f events and no other endpoint went on with it", l.number("events"))
		}
		return head + "the outcome is unknown; the endpoint gave no whole answer"
	case "timeout":
		return head + "no whole answer came within the deadline or the route's timeout"
	case "cancelled":
		return head + "the caller closed its connection"
	case "broken":
		return head + fmt.Sprintf("the connection to the caller ended after %.0f events", l.number("events"))
	case "unauthenticated", "wrong_organisation", "unknown_service", "bad_request", "too_large":
		return head + "refused by the configuration in force or as malformed"
	}
	return head + l.field("outcome")
}

func safety(l Line) string {
	switch {
	case l.field("outcome") == "answered":
		return "it ran once as far as the caller is concerned; nothing is to be done"
	case l.flag("may_have_run"):
		return "it may have run: check before sending it again, unless it is idempotent"
	}
	return "it did not run: it may be sent again"
}

func details(l Line) []string {
	var out []string
	if endpoint := l.field("endpoint"); endpoint != "" {
		placed := "last placed at " + endpoint
		switch age := l.number("load_age_ms"); {
		case age < 0:
			placed += ", which had not reported its load"
		case age > freshLoad:
			placed += fmt.Sprintf("; its load of %.0f was %.0f ms old: its agent had fallen silent, so look at its VM first", l.number("load"), age)
		default:
			placed += fmt.Sprintf("; its load of %.0f was %.0f ms old", l.number("load"), age)
		}
		out = append(out, placed)
	}
	cause := l.field("cause")
	switch {
	case strings.Contains(cause, "stands still"):
		out = append(out, "the rank group stood still: look for an agent that took over coordination, or a rank that is gone")
	case strings.Contains(cause, "not sent"):
		out = append(out, "the endpoint could not be reached")
	case strings.Contains(cause, "doesn't begin"):
		out = append(out, "the endpoint was silent for twice the target latency")
	}
	if strings.Contains(cause, "budget for repeats") {
		out = append(out, fmt.Sprintf("no other endpoint was tried after %.0f attempts, since this entry's budget for repeats was spent", l.number("attempts")))
	}
	if version := l.number("config"); version > 0 {
		out = append(out, fmt.Sprintf("handled by configuration %.0f, route %s", version, l.field("route")))
	}
	return out
}
