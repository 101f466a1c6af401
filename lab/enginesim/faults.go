package enginesim

import "time"

// TurnCold makes the engine cold without a new incarnation. During grace it
// queues requests beyond its capacity instead of crashing, since agents learn
// of the change only from the next load report.
func (e *Engine) TurnCold(grace time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.capacityGain = 0
	e.coldGraceEnd = time.Now().Add(grace)
	e.cache = newPrefixCache(e.opt.PrefixCacheBytes)
	e.recordLoad()
}

// Freeze stops all progress and all responses; connections stay open.
func (e *Engine) Freeze() { e.setFrozen(true) }

// Unfreeze ends Freeze.
func (e *Engine) Unfreeze() { e.setFrozen(false) }

func (e *Engine) setFrozen(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.frozen = on
	e.stateChanged.Broadcast()
}

// waitWhileFrozen blocks while the engine is frozen.
func (e *Engine) waitWhileFrozen() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for e.frozen && !e.closed {
		e.stateChanged.Wait()
	}
}

// Kill simulates a killed process: it closes every connection and refuses new
// ones until Restart.
func (e *Engine) Kill() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stopRestartTimer()
	e.down, e.frozen = true, false
	e.abortAll()
	e.stateChanged.Broadcast()
	e.server.Stop()
}

// Restart starts the engine after Kill or a crash, cold and with a new
// incarnation.
func (e *Engine) Restart() error {
	e.mu.Lock()
	if e.down && !e.closed {
		e.resetToColdStart()
	}
	e.mu.Unlock()
	return e.server.Start()
}

// stopRestartTimer cancels the automatic restart after a crash. The caller
// holds mu.
func (e *Engine) stopRestartTimer() {
	if e.restartTimer != nil {
		e.restartTimer.Stop()
	}
}

// crash records a crash and restarts the engine after RestartDelay. The caller
// holds mu.
func (e *Engine) crash(requestCount, capacity int) {
	e.crashes = append(e.crashes, Crash{At: time.Now(), Incarnation: e.incarnation, Requests: requestCount, Capacity: capacity})
	e.down = true
	e.abortAll()
	e.server.Stop() // does not wait for handlers, which may need mu
	e.restartTimer = time.AfterFunc(e.opt.RestartDelay, func() { _ = e.Restart() })
}
