package pipeline

import (
	"bytes"
	"encoding/json"
	"testing"

	"pgregory.net/rapid"

	"github.com/wasabinotch/wasabinotch/wire"
)

// Guards against lost, duplicate, reordered or foreign frames being relayed
// after connection faults. The decoder returns the frames in order up to the
// first missing one, and an error unless all are there.
func TestDecoderReturnsOrderedPrefix(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 20).Draw(t, "frames")
		var stream bytes.Buffer
		contiguous := 0 // frames sent without a gap
		var sent []int  // sequence numbers, for duplicates
		write := func(f wire.Frame) {
			if json.NewEncoder(&stream).Encode(f) != nil {
				t.Fatal("encode")
			}
		}
		for seq := 0; seq < n; {
			f := wire.Frame{RequestID: "r", Attempt: 1, Seq: seq, Text: "genuine"}
			switch rapid.SampledFrom([]string{"send", "send", "send", "duplicate", "foreign", "earlier attempt", "lose"}).Draw(t, "event") {
			case "duplicate":
				if len(sent) == 0 {
					continue
				}
				f.Seq = rapid.SampledFrom(sent).Draw(t, "seq")
				f.Text = "duplicate"
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
				if contiguous == seq {
					contiguous++
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
		if got > contiguous || cut == 0 && got != contiguous {
			t.Fatalf("got %d frames, %d were sent without a gap, %d bytes cut", got, contiguous, cut)
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
