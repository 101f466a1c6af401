package pipeline

import (
	"bytes"
	"encoding/json"
	"testing"

	"pgregory.net/rapid"

	"github.com/wasabinotch/wasabinotch/wire"
)

// Guards against lost, repeated, reordered or foreign frames being relayed:
// whatever a connection does to an answer, the decoder returns its frames in
// order up to the first one that is missing, and an error unless all are there.
func TestDecoderReturnsOrderedPrefix(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 20).Draw(t, "frames")
		var stream bytes.Buffer
		whole := 0     // frames sent without a gap
		var sent []int // sequence numbers, for repeats
		write := func(f wire.Frame) {
			if json.NewEncoder(&stream).Encode(f) != nil {
				t.Fatal("encode")
			}
		}
		for seq := 0; seq < n; {
			f := wire.Frame{RequestID: "r", Attempt: 1, Seq: seq, Text: "genuine"}
			switch rapid.SampledFrom([]string{"send", "send", "send", "repeat", "foreign", "earlier attempt", "lose"}).Draw(t, "event") {
			case "repeat":
				if len(sent) == 0 {
					continue
				}
				f.Seq = rapid.SampledFrom(sent).Draw(t, "seq")
				f.Text = "repeated"
				write(f)
			case "foreign":
				f.RequestID, f.Text = "q", "foreign"
				write(f)
			case "earlier attempt":
				f.Attempt, f.Text = 0, "earlier"
				write(f)
			case "lose":
				seq++
			default:
				if whole == seq {
					whole++
				}
				write(f)
				sent = append(sent, seq)
				seq++
			}
		}
		cut := rapid.IntRange(0, stream.Len()).Draw(t, "cut")
		data := stream.Bytes()[:stream.Len()-cut]
		d := newDecoder(bytes.NewReader(data), "r", 1)
		got := 0
		for f, err := d.Next(); err == nil; f, err = d.Next() {
			if f.Seq != got || f.Text != "genuine" {
				t.Fatalf("got %+v, want frame %d", *f, got)
			}
			got++
		}
		if got > bytes.Count(data, []byte("\n")) {
			t.Fatal("a frame without its line end was returned")
		}
		if got > whole || cut == 0 && got != whole {
			t.Fatalf("got %d frames, %d were sent without a gap, %d bytes cut", got, whole, cut)
		}
	})
}

// Guards against input that crashes the decoder or yields a foreign frame.
func FuzzDecoder(f *testing.F) {
	f.Add([]byte(`{"request_id":"r","attempt":1,"seq":0,"kind":"accepted"}` + "\n"))
	f.Add([]byte(`{"request_id":"r","attempt":1,"seq":0,"kind":"refused","refusal":{}}`))
	f.Add([]byte("\n{}\nnull\n[]\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		d := newDecoder(bytes.NewReader(data), "r", 1)
		for want := 0; ; want++ {
			frame, err := d.Next()
			if err != nil {
				return
			}
			if frame.RequestID != "r" || frame.Attempt != 1 || frame.Seq != want {
				t.Fatalf("got %+v, want frame %d", *frame, want)
			}
		}
	})
}
