package ownform

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/wasabinotch/wasabinotch/api"
	"github.com/wasabinotch/wasabinotch/peer"
	"github.com/wasabinotch/wasabinotch/wire"
)

const (
	// bodyCrowd connections with a body of maxBodyBytes each send twice the memory of
	// the VM.
	bodyCrowd = 64
	// connectionCrowd is more connections than a process has descriptors.
	connectionCrowd = 320
	// sendTimeout ends a member of the crowd from whom nothing is read any more.
	sendTimeout = 20 * time.Second
)

// member is what one client of a crowd sends. The connection stays open afterwards, also
// if send fails because the process has closed it.
type member func(w io.Writer) error

// crowd opens n connections to addr, from two addresses, and has send write to each.
// It returns once all members have sent what they can.
func (d *deployment) crowd(addr string, n int, send member) {
	var senders sync.WaitGroup
	for i := range n {
		senders.Go(func() {
			dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, byte(2+i%2))}, Timeout: sendTimeout}
			conn, err := dialer.Dial("tcp", addr)
			if err != nil {
				return // the process takes no more connections
			}
			d.t.Cleanup(func() { _ = conn.Close() })
			_ = conn.SetWriteDeadline(time.Now().Add(sendTimeout))
			w := bufio.NewWriterSize(conn, 64<<10)
			if send(w) == nil {
				_ = w.Flush()
			}
		})
	}
	senders.Wait()
}

// check runs a case on a new deployment: the crowd sends and stays, ordinary requests
// are answered, and the processes have stayed within their limits.
func check(t *testing.T, name string, send func(d *deployment)) {
	t.Run(name, func(t *testing.T) {
		d := startDeployment(t)
		send(d)
		d.awaitAnswers(answerTimeout)
		d.checkWithinLimits()
	})
}

// framing is how the body of a request is sent.
type framing struct {
	chunk    int // bytes in a chunk; 0 for a body with a length
	announce int // length in the head instead of the body's; 0 for that
	short    bool
	size     int
}

// post returns a member that sends one request with a body.
func (d *deployment) post(path string, f framing, prefix, suffix string) member {
	return func(w io.Writer) error {
		head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n", path, d.apiKey)
		length := f.size
		if f.announce > 0 {
			length = f.announce
		}
		if f.chunk == 0 {
			head += fmt.Sprintf("Content-Length: %d\r\n\r\n", length)
		} else {
			head += "Transfer-Encoding: chunked\r\n\r\n"
		}
		if _, err := io.WriteString(w, head); err != nil {
			return err
		}
		body := io.MultiReader(strings.NewReader(prefix), io.LimitReader(letters{}, int64(f.size-len(prefix)-len(suffix))), strings.NewReader(suffix))
		if f.short {
			body = io.LimitReader(body, int64(f.size-1))
		}
		if f.chunk == 0 {
			_, err := io.Copy(w, body)
			return err
		}
		return writeChunks(w, body, f.chunk, !f.short)
	}
}

// letters is an endless text.
type letters struct{}

func (letters) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'a'
	}
	return len(p), nil
}

func writeChunks(w io.Writer, body io.Reader, size int, last bool) error {
	buf := make([]byte, size)
	for {
		n, err := io.ReadFull(body, buf)
		if n > 0 {
			if _, err := fmt.Fprintf(w, "%x\r\n%s\r\n", n, buf[:n]); err != nil {
				return err
			}
		}
		if err != nil {
			break
		}
	}
	if last {
		_, err := io.WriteString(w, "0\r\n\r\n")
		return err
	}
	return nil
}

const (
	promptPrefix = `{"max_tokens":3,"prompt":"`
	promptSuffix = `"}`
)

func (d *deployment) prompt(f framing) member {
	return d.post(api.PathGenerate+modelService, f, promptPrefix, promptSuffix)
}

func (d *deployment) call(f framing) member {
	return d.post(api.PathCall+plainService+"/echo", f, "", "")
}

// Guards against an entry or agent that outgrows its VM because each body is bounded and
// all together are not, or because an announced length or many small pieces cost more
// than what has arrived.
func TestBodies(t *testing.T) {
	cases := map[string]framing{
		"whole, with a length":            {size: maxBodyBytes},
		"short, with a length":            {size: maxBodyBytes, short: true},
		"whole, in large chunks":          {size: maxBodyBytes, chunk: 64 << 10},
		"short, in large chunks":          {size: maxBodyBytes, chunk: 64 << 10, short: true},
		"short, in tiny chunks":           {size: 512 << 10, chunk: 8, short: true},
		"far over the limit, announced":   {size: 1 << 20, announce: 64 << 20, short: true},
		"far over the limit, just sent":   {size: 64 << 20, chunk: 64 << 10, short: true},
		"announced at the limit, no body": {size: 64, announce: maxBodyBytes, short: true},
	}
	for name, f := range cases {
		check(t, name+", prompts", func(d *deployment) { d.crowd(d.entryHTTP, bodyCrowd, d.prompt(f)) })
	}
	for _, name := range []string{"whole, with a length", "short, in large chunks"} {
		check(t, name+", calls", func(d *deployment) { d.crowd(d.entryHTTP, bodyCrowd, d.call(cases[name])) })
	}
}

// Guards against a limit on all bodies together that refuses a single request of the
// largest size in calm.
func TestSingleLargestBodyIsServed(t *testing.T) {
	d := startDeployment(t)
	client := ordinaryClient()
	prompt := promptPrefix + strings.Repeat("a", maxBodyBytes-len(promptPrefix)-len(promptSuffix)) + promptSuffix
	d.must(d.request(client, api.PathGenerate+modelService, []byte(prompt), "event: end"))
	d.must(d.request(client, api.PathCall+plainService+"/echo", make([]byte, maxBodyBytes), fmt.Sprintf("%d bytes", maxBodyBytes)))
	d.checkWithinLimits()
}

// Guards against bodies that are collected without a limit on paths that callers use
// without an API key.
func TestBodiesOfOtherPaths(t *testing.T) {
	// Larger than the limit of operator commands, of which one byte is missing.
	command := framing{size: 1 << 20, short: true}
	for _, path := range []string{api.PathAdminBundle, api.PathAdminIntents} {
		check(t, path, func(d *deployment) {
			d.crowd(d.entryHTTP, 3*bodyCrowd, d.post(path, command, `{"bundle":{"digest":"`, ""))
		})
	}
	// Every "{}," becomes a service, which takes many times its bytes.
	check(t, "many small parts", func(d *deployment) {
		d.crowd(d.entryHTTP, bodyCrowd, d.post(api.PathAdminBundle, framing{size: 1 << 20}, `{"bundle":{"services":[`+strings.Repeat("{},", 300<<10)+`{}],"note":"`, `"}}`))
	})
	for _, path := range []string{api.PathResolve, api.PathRequests + "x", "/debug/vars", "/nothing"} {
		check(t, path, func(d *deployment) {
			d.crowd(d.entryHTTP, connectionCrowd, d.post(path, framing{size: 200 << 10, short: true}, "", ""))
		})
	}
}

// Guards against responses that pile up in a process because nobody reads them.
func TestUnreadResponses(t *testing.T) {
	check(t, "streams", func(d *deployment) {
		d.crowd(d.entryHTTP, bodyCrowd, d.post(api.PathGenerate+modelService, framing{size: 100}, `{"max_tokens":131072,"prompt":"`, promptSuffix))
	})
	check(t, "calls", func(d *deployment) {
		d.crowd(d.entryHTTP, bodyCrowd, d.post(api.PathCall+plainService+"/large", framing{size: 10}, "", ""))
	})
	check(t, "calls on more connections than there are descriptors", func(d *deployment) {
		d.crowd(d.entryHTTP, connectionCrowd, d.post(api.PathCall+plainService+"/large", framing{size: 10}, "", ""))
	})
	check(t, "many requests on a connection", func(d *deployment) {
		d.crowd(d.entryHTTP, bodyCrowd, func(w io.Writer) error {
			for range 2000 {
				if _, err := io.WriteString(w, "GET /debug/vars HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
					return err
				}
			}
			return nil
		})
	})
}

// Guards against texts of callers that are kept after their request has ended, such as
// a header that a recorded decision quotes.
func TestLongTexts(t *testing.T) {
	long := strings.Repeat("a", 60<<10)
	for name, head := range map[string]string{
		"header":  "GET /v1/call/desk/echo HTTP/1.1\r\nHost: x\r\n" + api.HeaderAttempt + ": " + long,
		"service": "POST /v1/generate/" + long + " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer KEY",
		"method":  long + " /v1/generate/knots HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer KEY",
	} {
		check(t, name, func(d *deployment) {
			head := strings.ReplaceAll(head, "KEY", d.apiKey)
			d.crowd(d.entryHTTP, bodyCrowd, func(w io.Writer) error {
				for range 64 {
					if _, err := io.WriteString(w, head+"\r\nContent-Length: 2\r\n\r\n{}"); err != nil {
						return err
					}
				}
				return nil
			})
		})
	}
}

func idle(io.Writer) error { return nil }

// halfHead sends a large part of a request's head and not its end.
func halfHead(w io.Writer) error {
	_, err := io.WriteString(w, "GET /v1/status HTTP/1.1\r\nHost: x\r\nX-Filler: "+strings.Repeat("a", 60<<10))
	return err
}

// hugeHead sends far more than any head may have.
func hugeHead(w io.Writer) error {
	_, err := io.Copy(w, io.MultiReader(strings.NewReader("GET / HTTP/1.1\r\nX-Filler: "), io.LimitReader(letters{}, maxBodyBytes)))
	return err
}

func junk(w io.Writer) error {
	_, err := w.Write(bytes.Repeat([]byte{0xfe, 0xff, 0x00, 0x7f}, 64<<10))
	return err
}

// Guards against connections that keep others out, hold memory, or end the process, on
// each port that it opens.
func TestConnections(t *testing.T) {
	ports := map[string]func(d *deployment) string{
		"entry HTTP": func(d *deployment) string { return d.entryHTTP },
		"entry RPC":  func(d *deployment) string { return d.entryRPC },
		"agent HTTP": func(d *deployment) string { return d.modelHTTP },
		"agent RPC":  func(d *deployment) string { return d.plainRPC },
	}
	sends := map[string]member{"idle": idle, "half heads": halfHead, "huge heads": hugeHead, "junk": junk}
	for port, addr := range ports {
		for kind, send := range sends {
			check(t, port+", "+kind, func(d *deployment) { d.crowd(addr(d), connectionCrowd, send) })
		}
	}
}

// Guards against ports that are bounded one by one and together take all descriptors.
func TestConnectionsToAllPorts(t *testing.T) {
	check(t, "entry", func(d *deployment) { d.crowds(d.entryHTTP, d.entryRPC) })
	check(t, "agent", func(d *deployment) { d.crowds(d.modelHTTP, d.modelRPC) })
}

// crowds opens idle connections to all addresses at a time.
func (d *deployment) crowds(addrs ...string) {
	var all sync.WaitGroup
	for _, addr := range addrs {
		all.Go(func() { d.crowd(addr, connectionCrowd, idle) })
	}
	all.Wait()
}

// Guards against bodies that an agent reads, or waits for, before it knows the sender.
func TestBodiesAtAgents(t *testing.T) {
	for name, f := range map[string]framing{
		"whole":                     {size: maxBodyBytes},
		"short":                     {size: maxBodyBytes, short: true},
		"short and small":           {size: 200 << 10, short: true},
		"in large chunks, and open": {size: maxBodyBytes, chunk: 64 << 10, short: true},
	} {
		check(t, name, func(d *deployment) {
			d.crowd(d.modelHTTP, connectionCrowd, d.post(wire.PathExecute, f, "", ""))
		})
	}
	check(t, "with the token", func(d *deployment) {
		token := wire.ExecuteToken(d.authKey)
		d.apiKey, token = token, d.apiKey
		d.crowd(d.modelHTTP, bodyCrowd, d.post(wire.PathExecute, framing{size: maxBodyBytes, short: true}, `{"request_id":"`, ""))
		d.apiKey = token
	})
}

// Guards against RPC messages that are read into memory whatever their length.
func TestHugeFrames(t *testing.T) {
	for name, addr := range map[string]func(d *deployment) string{
		"entry": func(d *deployment) string { return d.entryRPC },
		"agent": func(d *deployment) string { return d.modelRPC },
	} {
		check(t, name, func(d *deployment) {
			var senders sync.WaitGroup
			for range bodyCrowd {
				senders.Go(func() { d.sendHugeFrame(addr(d)) })
			}
			senders.Wait()
		})
	}
}

// sendHugeFrame sends an RPC message that is announced as larger than the VM's memory and
// of which maxBodyBytes arrive. The connection stays open.
func (d *deployment) sendHugeFrame(addr string) {
	ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
	defer cancel()
	var conn net.Conn
	pool := peer.NewPoolWithDialer(d.authKey, func(ctx context.Context, network, addr string) (net.Conn, error) {
		var err error
		conn, err = peer.DialFrom("127.0.0.2")(ctx, network, addr)
		return conn, err
	})
	d.t.Cleanup(pool.Close)
	var reply wire.NotifyReply
	_ = pool.Call(ctx, addr, "None.None", wire.NotifyArgs{}, &reply) // opens the connection; no such method
	if conn == nil {
		return // the process takes no more connections
	}
	_ = conn.SetWriteDeadline(time.Now().Add(sendTimeout))
	// A length in gob's encoding: the negated number of bytes, then the bytes, big endian.
	if _, err := conn.Write([]byte{0xfc, 0x20, 0x00, 0x00, 0x00}); err != nil {
		return
	}
	_, _ = io.Copy(conn, io.LimitReader(letters{}, maxBodyBytes))
}
