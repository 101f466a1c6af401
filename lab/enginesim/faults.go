package enginesim

import "time"

// TurnCold makes the engine cold under the same boot ID. For grace it keeps
// requests beyond its capacity waiting instead of crashing, since nobody can
// know of the change before the next load report.
func (e *Engine) TurnCold(grace time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.warmth = 0
	e.graceEnd = time.Now().Add(grace)
	e.cache = newPrefixCache(e.opt.PrefixCacheBytes)
	e.record()
}

// Freeze stops all progress and all answers; connections stay open.
func (e *Engine) Freeze() { e.setFrozen(true) }

// Unfreeze ends Freeze.
func (e *Engine) Unfreeze() { e.setFrozen(false) }

func (e *Engine) setFrozen(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.frozen = on
	e.wake.Broadcast()
}

// waitThawed blocks while the engine is frozen.
func (e *Engine) waitThawed() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for e.frozen && !e.closed {
		e.wake.Wait()
	}
}

// Kill drops every stream and refuses connections until Restart.
func (e *Engine) Kill() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stopRestarter()
	e.dead, e.frozen = true, false
	e.dropAll()
	e.wake.Broadcast()
	e.http.Stop()
}

// Restart starts a dead engine, cold and with a new boot ID.
func (e *Engine) Restart() error {
	e.mu.Lock()
	if e.dead && !e.closed {
		e.boot()
	}
	e.mu.Unlock()
	return e.http.Start()
}

// stopRestarter keeps a crashed engine from starting again by itself. The
// caller holds mu.
func (e *Engine) stopRestarter() {
	if e.restarter != nil {
		e.restarter.Stop()
	}
}

// crash records a crash and restarts the engine after RestartDelay. The caller
// holds mu.
func (e *Engine) crash(given, capacity int) {
	e.crashes = append(e.crashes, Crash{At: time.Now(), Incarnation: e.bootID, Requests: given, Capacity: capacity})
	e.dead = true
	e.dropAll()
	e.http.Stop() // does not wait for handlers, which may need mu
	e.restarter = time.AfterFunc(e.opt.RestartDelay, func() { _ = e.Restart() })
}
