package node

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	"github.com/wasabinotch/wasabinotch/fleet"
	"github.com/wasabinotch/wasabinotch/share"
)

const (
	// queryTurns is the query parameter with which an entry that polls another one at
	// pathOperator asks for turns at endpoints that may be cold, headerTurns the header of
	// the response with those that it is lent. Entries of earlier versions know neither.
	queryTurns  = "turns"
	headerTurns = "Turns-Lent"
	// maxLoanBytes bounds the header: all slots of a ring.
	maxLoanBytes = 48 << 10
)

// turnLender exchanges turns with other entries when they poll each other. A loan that is
// lost on the way costs its turns until it ends.
type turnLender struct {
	fleet          *fleet.Fleet
	lent, borrowed *metrics.Counter
	log            logr.Logger
}

// answer lends turns to an entry that asks for them.
func (t *turnLender) answer(w http.ResponseWriter, asked string) {
	if asked == "" {
		return
	}
	l, ok := t.fleet.LendTurns(time.Now())
	if !ok {
		return
	}
	t.lent.Add(len(l.Slots))
	t.log.Info("Turns lent.", "turns", len(l.Slots), "to_ms", l.To.Sub(l.From).Milliseconds())
	w.Header().Set(headerTurns, encodeLoan(l))
}

// borrow uses turns that the entry at addr has lent.
func (t *turnLender) borrow(addr, value string) {
	if value == "" {
		return
	}
	l, ok := decodeLoan(value)
	if !ok {
		t.log.Info("Malformed loan of turns ignored.", "peer", addr)
		return
	}
	t.borrowed.Add(len(l.Slots))
	t.log.Info("Turns borrowed.", "turns", len(l.Slots), "peer", addr)
	t.fleet.BorrowTurns(l, time.Now())
}

// encodeLoan returns a loan as FROM,TO,SLOT,... with times in Unix nanoseconds.
func encodeLoan(l share.Loan) string {
	var b strings.Builder
	b.WriteString(strconv.FormatInt(l.From.UnixNano(), 10) + "," + strconv.FormatInt(l.To.UnixNano(), 10))
	for _, slot := range l.Slots {
		b.WriteString("," + strconv.Itoa(int(slot)))
	}
	return b.String()
}

// decodeLoan returns false for a loan that can't be used.
func decodeLoan(value string) (l share.Loan, ok bool) {
	if len(value) > maxLoanBytes {
		return share.Loan{}, false
	}
	for i, part := range strings.Split(value, ",") {
		n, err := strconv.ParseInt(part, 10, 64)
		if err != nil {
			return share.Loan{}, false
		}
		switch i {
		case 0:
			l.From = time.Unix(0, n)
		case 1:
			l.To = time.Unix(0, n)
		default:
			if int64(int32(n)) != n {
				return share.Loan{}, false
			}
			l.Slots = append(l.Slots, int32(n))
		}
	}
	return l, l.Valid()
}
