package bundle

import (
	"crypto/ed25519"
	"encoding/base64"
	"errors"
	"fmt"
	"maps"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func newTestKey(name string, seed byte) (PublicKey, ed25519.PrivateKey) {
	private := ed25519.NewKeyFromSeed([]byte(strings.Repeat(string(rune('a'+seed)), ed25519.SeedSize)))
	return PublicKey{Name: name, Public: base64.StdEncoding.EncodeToString(private.Public().(ed25519.PublicKey))}, private
}

func sampleBundle() Bundle {
	operator, _ := newTestKey("olive", 9)
	return Bundle{
		Version:       1,
		Organisations: []Organisation{{Name: "north", KeyDigests: []string{strings.Repeat("ab", 32)}}, {Name: "south"}},
		Services: []Service{{Name: "knots", Kind: KindModel, ColdLimit: 1, WarmLimit: 8, QueueLimit: 4, TimeoutMS: 1000,
			Shares: map[string]float64{"north": 2, "south": 1}}},
		Zones:     []string{"a", "b", "c"},
		Operators: []PublicKey{operator},
		Groups:    []Group{{Name: "g", Service: "knots", Ranks: 4, Layers: 2, Experts: 8, SlotsPerRank: 2, ExpertBytes: 1}},
	}
}

// Guards against a bundle that is accepted with too few valid signatures: by one
// member twice, under another member's name, by a non-member, or over other content.
func TestVerify(t *testing.T) {
	is := is.New(t)
	one, oneKey := newTestKey("one", 1)
	two, twoKey := newTestKey("two", 2)
	_, foreignKey := newTestKey("three", 3)
	members := []PublicKey{one, two}
	sign := func(name string, k ed25519.PrivateKey) Signature {
		b := sampleBundle()
		sig, err := b.Sign(name, k)
		is.NoErr(err)
		return sig
	}
	verify := func(sigs ...Signature) error {
		_, err := (&Signed{Bundle: sampleBundle(), Signatures: sigs}).Verify(members, 2)
		return err
	}
	is.NoErr(verify(sign("one", oneKey), sign("two", twoKey)))
	var missing *SignatureError
	is.True(errors.As(verify(sign("one", oneKey), sign("one", oneKey)), &missing))
	is.True(errors.As(verify(sign("one", oneKey), sign("two", oneKey)), &missing))
	is.True(errors.As(verify(sign("one", oneKey), sign("three", foreignKey)), &missing))
	changed := &Signed{Bundle: sampleBundle(), Signatures: []Signature{sign("one", oneKey), sign("two", twoKey)}}
	changed.Bundle.Zones[0] = "d"
	_, err := changed.Verify(members, 2)
	is.True(errors.As(err, &missing))
}

// Guards against accepting an intent that was changed after signing, or signed by a
// key that is not an operator of the bundle.
func TestVerifyIntent(t *testing.T) {
	is := is.New(t)
	_, operatorKey := newTestKey("olive", 9)
	in := Intent{Kind: TargetZone, Target: "a", Out: true, Revision: 1}
	is.NoErr(in.Sign("olive", operatorKey))
	is.NoErr(in.Verify(sampleBundle().Operators))
	changed := in
	changed.Out = false
	is.True(changed.Verify(sampleBundle().Operators) != nil)
	_, otherKey := newTestKey("other", 8)
	is.NoErr(in.Sign("olive", otherKey))
	is.True(in.Verify(sampleBundle().Operators) != nil)
}

// Guards against a structural fault that passes, or that is reported on another
// field, where an operator would not find it.
func TestValidateNamesField(t *testing.T) {
	cases := []struct {
		field  string
		change func(b *Bundle)
	}{
		{"version", func(b *Bundle) { b.Version = 0 }},
		{"previous", func(b *Bundle) { b.Version = 2 }},
		{"zones", func(b *Bundle) { b.Zones = nil }},
		{"zones[1]", func(b *Bundle) { b.Zones[1] = "a" }},
		{"organisations[1]", func(b *Bundle) { b.Organisations[1].Name = "north" }},
		{"organisations[0].key_digests[0]", func(b *Bundle) { b.Organisations[0].KeyDigests[0] = "ab" }},
		{"operators[0].public", func(b *Bundle) { b.Operators[0].Public = "" }},
		{"services", func(b *Bundle) { b.Services = nil; b.Groups = nil }},
		{"services[0].kind", func(b *Bundle) { b.Services[0].Kind = "" }},
		{"services[0].cold_limit", func(b *Bundle) { b.Services[0].ColdLimit = 0 }},
		{"services[0].warm_limit", func(b *Bundle) { b.Services[0].ColdLimit = 9 }},
		{"services[0].timeout_ms", func(b *Bundle) { b.Services[0].TimeoutMS = 0 }},
		{"services[0].shares.west", func(b *Bundle) { b.Services[0].Shares = map[string]float64{"west": 1} }},
		{"services[0].shares.north", func(b *Bundle) { b.Services[0].Shares["north"] = 0 }},
		{"groups[0].slots_per_rank", func(b *Bundle) { b.Groups[0].Experts = 9 }},
		{"groups[0].service", func(b *Bundle) { b.Groups[0].Service = "x" }},
	}
	for _, c := range cases {
		t.Run(c.field, func(t *testing.T) {
			is := is.New(t)
			b := sampleBundle()
			is.NoErr(b.Validate())
			c.change(&b)
			var f *FieldError
			is.True(errors.As(b.Validate(), &f))
			is.Equal(f.Field, c.field)
		})
	}
}

// Guards against input that another decoder could read differently: trailing data,
// duplicate keys, unknown fields, wrong types, oversize and deep nesting.
func TestDecodeStrict(t *testing.T) {
	is := is.New(t)
	good, err := (&Signed{Bundle: sampleBundle()}).Encode()
	is.NoErr(err)
	_, err = Decode(good)
	is.NoErr(err)
	text := string(good)
	for _, bad := range []string{
		text + "{}",
		strings.Replace(text, `"version":1`, `"version":1,"version":1`, 1),
		strings.Replace(text, `"version":1`, `"version":1,"extra":1`, 1),
		strings.Replace(text, `"version":1`, `"version":"1"`, 1),
		text + strings.Repeat(" ", MaxBytes),
		strings.Repeat("[", 100000),
	} {
		var f *FieldError
		_, err := Decode([]byte(bad))
		is.True(errors.As(err, &f))
	}
}

func drawIntents(t *rapid.T, label string) Intents {
	r := Intents{Revision: rapid.Uint64Range(0, 5).Draw(t, label+" revision"), Targets: map[string]Intent{}}
	for i := range rapid.IntRange(0, 5).Draw(t, label+" count") {
		in := Intent{
			Kind:      TargetZone,
			Target:    rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, fmt.Sprint(label, i, " zone")),
			Out:       rapid.Bool().Draw(t, fmt.Sprint(label, i, " out")),
			Revision:  rapid.Uint64Range(1, 3).Draw(t, fmt.Sprint(label, i, " rev")),
			Signature: Signature{Value: rapid.SampledFrom([]string{"x", "y"}).Draw(t, fmt.Sprint(label, i, " sig"))},
		}
		r.Targets[in.Key()] = in
	}
	return r
}

// Guards against nodes that disagree after they received the same intents in
// another order or several times, and against taking out all zones.
func TestMergeProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawIntents(t, "a"), drawIntents(t, "b"), drawIntents(t, "c")
		ab := Merge(a, b)
		if ab.Hash() != Merge(b, a).Hash() {
			t.Fatal("not commutative")
		}
		if Merge(ab, c).Hash() != Merge(a, Merge(b, c)).Hash() {
			t.Fatal("not associative")
		}
		if Merge(ab, ab).Hash() != ab.Hash() || Merge(ab, a).Hash() != ab.Hash() {
			t.Fatal("not idempotent")
		}
		zones := []string{"a", "b", "c"}
		out := ab.ZonesOut(zones)
		if len(out) == len(zones) {
			t.Fatal("all zones are out")
		}
		if !maps.Equal(out, ab.ZonesOut([]string{"c", "a", "b"})) {
			t.Fatal("depends on the order of zones")
		}
	})
}

// Guards against a panic on malformed input, and against accepting a bundle that
// does not decode again after encoding.
func FuzzDecode(f *testing.F) {
	good, _ := (&Signed{Bundle: sampleBundle()}).Encode()
	f.Add(good)
	f.Add([]byte(`{"bundle":{"version":1}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Decode(data)
		if err != nil {
			return
		}
		raw, err := s.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Decode(raw); err != nil && len(raw) <= MaxBytes {
			t.Fatal(err)
		}
	})
}

// Guards against a panic on malformed intents, which any peer with the shared key
// can send, and against a record that changes when it is encoded and decoded.
func FuzzDecodeIntents(f *testing.F) {
	f.Add([]byte(`{"revision":1,"targets":{"zone/a":{"kind":"zone","target":"a","out":true,"revision":1,"operator":"o","signature":{"name":"o","value":""}}}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := DecodeIntents(data)
		if err != nil {
			return
		}
		raw, err := r.Encode()
		if err != nil {
			t.Fatal(err)
		}
		again, err := DecodeIntents(raw)
		if err != nil || again.Hash() != r.Hash() {
			t.Fatalf("does not survive a round trip: %v", err)
		}
	})
}
