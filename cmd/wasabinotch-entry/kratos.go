package main

import (
	klog "github.com/go-kratos/kratos/v2/log"
	"github.com/go-logr/logr"
)

// kratosLogger writes the messages of the kratos library to the entry's log. Kratos
// has one logger per process, which therefore only the program may set.
type kratosLogger struct{ log logr.Logger }

// Log implements klog.Logger.
func (k kratosLogger) Log(level klog.Level, keyvals ...any) error {
	k.log.Info("Message from kratos.", append([]any{"level", level.String()}, keyvals...)...)
	return nil
}
