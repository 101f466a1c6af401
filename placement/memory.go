package placement

import (
	"math"
	"time"
)

const (
	// memoryUse is the fraction of an engine's memory that may be filled: the lengths of
	// responses are estimates.
	memoryUse = 0.9
	// queuedPerSlot is the number of requests that an engine may hold for each of its slots,
	// running or in its queue.
	queuedPerSlot = 2
	// minTurn is the least length of a turn, and turnPerEntry what each entry adds to it:
	// agents report less often to many entries.
	minTurn      = 500 * time.Millisecond
	turnPerEntry = 4 * time.Millisecond
)

// Memory is what is known of the memory of an endpoint's engine, in tokens.
//
// It answers long prompts that many entries send to few engines: an engine that runs out of
// memory preempts the newest requests and reads them again, which delays all the others.
// What the others send is known only from the next report. Requests that can't fill the
// memory even if they take all places of the engine go there at any time; longer ones only
// by turns (see OwnTurn), so that the sum stays below what the engine can hold.
type Memory struct {
	// Total is the engine's memory, 0 if it isn't known; Used is what was in use at the
	// report.
	Total, Used int
	// Slots, Running and Waiting are the engine's slots and the reported requests. Running
	// ones still grow by their response, waiting ones haven't taken any memory yet.
	Slots, Running, Waiting int
	// Sent is what the requests need that this entry sent since the report, less what its
	// requests have given back that ended since.
	Sent int
}

// idle reports whether the engine had no request at the report, and got none from this entry
// since.
func (m *Memory) idle() bool { return m.Used == 0 && m.Running+m.Waiting == 0 && m.Sent <= 0 }

// usable returns the tokens that may be filled.
func (m *Memory) usable() float64 { return memoryUse * float64(m.Total) }

// free returns the tokens that were free at the report.
func (m *Memory) free(e *Engine) int {
	return int(m.usable() - float64(m.Used) - float64(m.Running)*e.MeanResponse/2 - float64(m.Waiting)*(e.MeanPrompt+e.MeanResponse))
}

// Room returns the tokens that a request which needs the given number may take. entries is
// the number of entries; ownTurn is set if it is this one's turn.
func (m *Memory) Room(e *Engine, need, entries int, ownTurn bool) int {
	if m.Total <= 0 {
		return math.MaxInt
	}
	free := m.free(e)
	if entries <= 1 {
		return m.atLeastOne(free-m.Sent, need)
	}
	places := max(1, queuedPerSlot*m.Slots-m.Running-m.Waiting)
	if need*places <= free/2 {
		return free/2 - m.Sent
	}
	if !ownTurn {
		return 0
	}
	// Half is left for ordinary requests as long as they fit into it at any time. A request
	// that doesn't fit into half of an idle engine would never be sent then.
	if int(e.MeanPrompt+e.MeanResponse)*places <= free/2 && need <= int(m.usable())/2 {
		free -= free / 2
	}
	return m.atLeastOne(free-m.Sent, need)
}

// atLeastOne returns the room for a request that needs the given number of tokens: an idle
// engine takes any request. What it needs is an estimate, and it would never be sent
// otherwise.
func (m *Memory) atLeastOne(room, need int) int {
	if m.idle() {
		return max(room, need)
	}
	return room
}

// OwnTurn reports whether it is an entry's turn to send long prompts to an endpoint. Turns
// go round in the order of the entries' index; offset spreads the endpoints' turns. A turn
// begins with the first report that certainly contains what was sent in the turn before: it
// arrived more than transit after that turn. Clocks that differ by more let two turns
// overlap.
func OwnTurn(entries, index int, offset int64, reportAt, now time.Time, transit time.Duration) bool {
	length := int64(minTurn) + int64(entries)*int64(turnPerEntry)
	turn := now.UnixNano() / length
	if reportAt.UnixNano() < turn*length+int64(transit) {
		return false
	}
	return (int64(index)+offset-turn)%int64(entries) == 0
}

// RoomWithoutReport returns the tokens that a further request may take at an endpoint whose
// last report is outdated: of the memory, the part of one of the entries, less what this
// entry has there. One request is always possible.
func RoomWithoutReport(total, own, entries int) int {
	if total <= 0 || own == 0 {
		return math.MaxInt
	}
	return int(memoryUse*float64(total))/max(1, entries) - own
}
