package explain

import (
	"fmt"
	"strings"
)

// freshLoadMS is the age in milliseconds up to which entries use a reported load
// to choose an endpoint.
const freshLoadMS = 1000

// Explain describes in sentences a line that reports the end of a request: what the
// caller received, why, and whether the request may be sent again.
func Explain(l Line) []string {
	return append([]string{describeResult(l), describeRetrySafety(l)}, describeDetails(l)...)
}

func describeResult(l Line) string {
	ms, status, attempts := l.numberField("ms"), l.numberField("status"), l.numberField("attempts")
	head := fmt.Sprintf("status %.0f after %.0f ms: ", status, ms)
	if strings.Contains(l.stringField("cause"), "did not read its response") {
		return head + fmt.Sprintf("the caller did not read its response by the deadline; its connection was closed after %.0f events", l.numberField("events"))
	}
	switch l.stringField("outcome") {
	case "answered":
		if status >= 500 {
			return head + "the endpoint itself responded with this error, which was relayed unchanged"
		}
		return head + "the endpoint's complete response was relayed"
	case "overloaded":
		if strings.Contains(l.stringField("cause"), "shutting down") {
			return head + "refused; the entry was shutting down"
		}
		if strings.Contains(l.stringField("cause"), "memory for peers' requests") {
			return head + "refused; the entry had no memory left for its body"
		}
		if strings.Contains(l.stringField("cause"), "rate limits") {
			return head + "refused; all endpoints were at the rate limits that they named"
		}
		if strings.Contains(l.stringField("cause"), "ask for a pause") {
			return head + "refused; all endpoints had asked for a pause"
		}
		if strings.Contains(l.stringField("cause"), "expected to come free in time") {
			return head + "refused at once; with the requests before it, no endpoint was expected to come free in time"
		}
		if strings.Contains(l.stringField("cause"), "full of requests that go first") {
			return head + "refused; the queue was full of requests that go first"
		}
		if attempts > 0 {
			return head + fmt.Sprintf("refused; %.0f endpoints rejected it without running it", attempts)
		}
		return head + fmt.Sprintf("refused for lack of capacity; no endpoint had a free slot in %.0f ms of waiting", l.numberField("waited_ms"))
	case "no_endpoint":
		if strings.Contains(l.stringField("cause"), "memory of every endpoint") {
			return head + "refused; its prompt exceeds the memory of every endpoint of the service"
		}
		return head + "refused; no endpoint of the service could take work: zones out of service, stalled rank groups, or none listed"
	case "quarantined":
		return head + "refused; a part of the prompt is held because endpoints crashed on it"
	case "endpoint_failed":
		if status == 200 {
			return head + fmt.Sprintf("the response broke off after %.0f events and no other endpoint continued it", l.numberField("events"))
		}
		return head + "the outcome is unknown; the endpoint gave no complete response"
	case "request_timeout":
		return head + "refused; the request's body did not arrive in time"
	case "timeout":
		return head + "no complete response arrived within the deadline or the route's timeout"
	case "cancelled":
		return head + "the caller closed its connection"
	case "broken":
		return head + fmt.Sprintf("the connection to the caller ended after %.0f events", l.numberField("events"))
	case "unauthenticated", "wrong_organisation", "unknown_service", "bad_request", "too_large":
		return head + "refused by the configuration in force or as malformed"
	}
	return head + l.stringField("outcome")
}

func describeRetrySafety(l Line) string {
	switch {
	case l.stringField("outcome") == "answered":
		return "it ran once as far as the caller is concerned; no action is needed"
	case l.boolField("may_have_run"):
		return "it may have run: check before sending it again, unless it is idempotent"
	}
	return "it did not run: it may be sent again"
}

func describeDetails(l Line) []string {
	var out []string
	if endpoint := l.stringField("endpoint"); endpoint != "" {
		choice := "the last endpoint chosen was " + endpoint
		switch age := l.numberField("load_age_ms"); {
		case age < 0:
			choice += ", which had not reported its load"
		case age > freshLoadMS:
			choice += fmt.Sprintf("; its load of %.0f was %.0f ms old: its agent had stopped reporting, so check its VM first", l.numberField("load"), age)
		default:
			choice += fmt.Sprintf("; its load of %.0f was %.0f ms old", l.numberField("load"), age)
		}
		out = append(out, choice)
	}
	cause := l.stringField("cause")
	switch {
	case strings.Contains(cause, "stands still"):
		out = append(out, "the rank group stalled: look for an agent that took over coordination, or a rank that was lost")
	case strings.Contains(cause, "not sent"):
		out = append(out, "the endpoint could not be reached")
	case strings.Contains(cause, "doesn't begin"):
		out = append(out, "the endpoint had not begun its response after twice the target latency")
	}
	if strings.Contains(cause, "budget for repeats") {
		out = append(out, fmt.Sprintf("no other endpoint was tried after %.0f attempts, since this entry's retry budget was spent", l.numberField("attempts")))
	}
	if version := l.numberField("config"); version > 0 {
		out = append(out, fmt.Sprintf("handled by configuration %.0f, route %s", version, l.stringField("route")))
	}
	return out
}
