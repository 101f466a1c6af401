package ordersim

import "sync"

// Ledger counts how many times each order ran. Services that share a ledger
// are endpoints of one service; the counts survive their restarts.
type Ledger struct {
	mu   sync.Mutex
	runs map[string]int
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{runs: make(map[string]int)} }

// Counts returns the number of runs by order number.
func (l *Ledger) Counts() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := make(map[string]int, len(l.runs))
	for order, n := range l.runs {
		counts[order] = n
	}
	return counts
}

func (l *Ledger) recordRun(order string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[order]++
	return l.runs[order]
}
