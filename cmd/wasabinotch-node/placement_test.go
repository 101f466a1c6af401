package main

import (
	"errors"
	"io"
	"testing"

	"github.com/jessevdk/go-flags"
	"github.com/matryer/is"

	"github.com/wasabinotch/wasabinotch/settings"
	"github.com/wasabinotch/wasabinotch/wire"
)

// Guards against options of explain-placement that don't reach the query, and against invalid
// ones without an error that names the option and a remedy.
func TestPlacementOptions(t *testing.T) {
	is := is.New(t)
	parse := func(args ...string) *placementOptions {
		var o options
		_, err := flags.ParseArgs(&o, append([]string{"explain-placement"}, args...))
		is.NoErr(err)
		return &o.Placement
	}
	q, err := parse("--ask", "10.0.0.1:7000", "--host", "h", "--path", "/x", "--prompt-tokens", "700", "--response-tokens", "90", "--target-ms", "400", "--part", "ab:40", "--part", "cd:660").query()
	is.NoErr(err)
	is.Equal(*q, wire.PlacementQuery{Host: "h", Path: "/x", TargetMS: 400, PromptTokens: 700, ResponseTokens: 90, Parts: []wire.PlacementPart{{ID: "ab", Tokens: 40}, {ID: "cd", Tokens: 660}}})
	for _, args := range [][]string{
		{"--service", "s"},
		{"--ask", "10.0.0.1:7000"},
		{"--ask", "10.0.0.1:7000", "--service", "s", "--prompt-tokens", "-1"},
		{"--ask", "10.0.0.1:7000", "--service", "s", "--part", "40"},
		{"--ask", "10.0.0.1:7000", "--service", "s", "--part", "a:-1"},
	} {
		err := runExplainPlacement(t.Context(), parse(args...), io.Discard)
		var invalid *settings.Error
		is.True(errors.As(err, &invalid))
		is.True(invalid.Remedy != "")
	}
}
