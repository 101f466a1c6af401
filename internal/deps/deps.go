// Package deps keeps the modules of parts under construction in go.mod.
package deps

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/go-kratos/kratos/v2"
	_ "github.com/go-kratos/kratos/v2/transport/http"
	_ "github.com/google/uuid"
	_ "github.com/gowebpki/jcs"
	_ "github.com/jessevdk/go-flags"
	_ "github.com/jonboulle/clockwork"
	_ "github.com/matryer/is"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/time/rate"
	_ "pgregory.net/rapid"
)
