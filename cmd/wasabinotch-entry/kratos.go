package main

import (
	klog "github.com/go-kratos/kratos/v2/log"
	"github.com/go-logr/logr"
)

// kratosLog writes kratos' own messages to the entry's log. Kratos has one
// logger per process, so that only the program may set it.
type kratosLog struct{ log logr.Logger }

// Log implements the logger of kratos.
func (k kratosLog) Log(level klog.Level, keyvals ...any) error {
	k.log.Info("kratos", append([]any{"level", level.String()}, keyvals...)...)
	return nil
}
