package intake

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/wasabinotch/wasabinotch/limits"
	"github.com/wasabinotch/wasabinotch/settings"
)

// startServer serves h behind Handler, with bounded connections and the given budget.
func startServer(t *testing.T, in *Intake, h http.HandlerFunc) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := httptest.NewUnstartedServer(Handler(h))
	_ = s.Listener.Close()
	s.Listener = in.HTTP.Listener(ln)
	in.HTTP.Server(s.Config)
	s.Start()
	t.Cleanup(s.Close)
	return ln.Addr().String()
}

func newIntake(memoryMB int) *Intake {
	return New(settings.Node{MemoryMB: memoryMB, FileDescriptors: 256}, time.Minute, logr.Discard())
}

// send opens a connection from an address and sends raw bytes.
func send(t *testing.T, addr, from, raw string) net.Conn {
	t.Helper()
	conn, err := (&net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(from)}}).Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second)) // bounds the test if it has failed
	if _, err := io.WriteString(conn, raw); err != nil {
		t.Fatal(err)
	}
	return conn
}

// Guards against a server that answers before the end of a body and then waits for the rest,
// to reuse the connection, for as long as the peer likes.
func TestResponseBeforeEndOfBodyClosesConnection(t *testing.T) {
	for name, head := range map[string]string{"length": "Content-Length: 1000\r\n\r\nbody", "chunks": "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n"} {
		for _, handler := range []http.HandlerFunc{
			func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusUnauthorized) },
			func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "text") },
			func(http.ResponseWriter, *http.Request) {},
		} {
			t.Run(name, func(t *testing.T) {
				is := is.New(t)
				conn := send(t, startServer(t, newIntake(64), handler), "127.0.0.1", "POST / HTTP/1.1\r\nHost: x\r\n"+head)
				_ = conn.SetDeadline(time.Now().Add(bodyTimeout / 2)) // after it the server gives up the body anyway
				r := bufio.NewReader(conn)
				resp, err := http.ReadResponse(r, nil)
				is.NoErr(err)
				is.True(resp.Close)
				_, err = io.Copy(io.Discard, resp.Body)
				is.NoErr(err)
				_, err = r.ReadByte()
				is.Equal(err, io.EOF)
			})
		}
	}
}

// Guards against a refusal that is lost because the connection is reset while the body is
// still arriving.
func TestRefusalReachesSender(t *testing.T) {
	for _, size := range []int{100 << 10, 4 << 20} {
		is := is.New(t)
		addr := startServer(t, newIntake(64), func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusUnauthorized) })
		for range 20 {
			resp, err := http.Post("http://"+addr, "text/plain", bytes.NewReader(make([]byte, size)))
			is.NoErr(err)
			is.Equal(resp.StatusCode, http.StatusUnauthorized)
			is.NoErr(resp.Body.Close())
		}
	}
}

// Guards against a connection that is closed after an ordinary request, and against the time
// limit of a body that ends a request whose response takes longer.
func TestWholeBodyKeepsConnection(t *testing.T) {
	is := is.New(t)
	const post = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody"
	conn := send(t, startServer(t, newIntake(64), func(w http.ResponseWriter, r *http.Request) {
		data, _ := io.ReadAll(r.Body)
		_, _ = w.Write(data)
	}), "127.0.0.1", post)
	r := bufio.NewReader(conn)
	for range 3 {
		resp, err := http.ReadResponse(r, nil)
		is.NoErr(err)
		data, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		is.Equal(string(data), "body")
		is.True(!resp.Close)
		_, err = io.WriteString(conn, post)
		is.NoErr(err)
	}
}

// Guards against a claim that doesn't hold the copies of a body that its processing needs,
// and against one that holds something after its end.
func TestClaimHoldsBody(t *testing.T) {
	for _, size := range []int{0, 1, 4000, 300_000} {
		is := is.New(t)
		m := limits.NewMemory(0, nil)
		body := bytes.Repeat([]byte("b"), size)
		r := httptest.NewRequest(http.MethodPost, "/", bytes.NewReader(body))
		c := NewClaim(m, httptest.NewRecorder(), r)
		got, err := c.ReadBody(r, 1<<20, 4)
		is.NoErr(err)
		is.True(bytes.Equal(got, body))
		is.Equal(m.Held(), 4*int64(size))
		is.NoErr(c.Resize(10))
		is.Equal(m.Held(), int64(10))
		c.Release()
		is.Equal(m.Held(), int64(0))
	}
}

// Guards against a body without room for its copies that is read all the same, and against
// an error that isn't told apart.
func TestNoMemoryForBody(t *testing.T) {
	is := is.New(t)
	m := limits.NewMemory(1<<20, nil)
	r := httptest.NewRequest(http.MethodPost, "/", strings.NewReader(strings.Repeat("b", 600<<10)))
	c := NewClaim(m, httptest.NewRecorder(), r)
	_, err := c.ReadBody(r, 1<<20, 2)
	is.True(errors.Is(err, limits.ErrSpent))
	is.True(m.Held() <= 1<<20)
	c.Release()
	is.Equal(m.Held(), int64(0))
}

// Guards against a peer that is cut off without a word when its stopped body gives way, and
// against a whole request that can't be served because of it.
func TestStoppedBodyGivesWay(t *testing.T) {
	is := is.New(t)
	in := newIntake(64) // 16 MiB for peers, of which large bodies may take 12
	addr := startServer(t, in, func(w http.ResponseWriter, r *http.Request) {
		c := NewClaim(in.Memory, w, r)
		defer c.Release()
		if _, err := c.ReadBody(r, 16<<20, 2); err != nil {
			w.WriteHeader(http.StatusRequestTimeout)
		}
	})
	head := "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4000000\r\n\r\n"
	stopped := send(t, addr, "127.0.0.2", head+strings.Repeat("b", 3_999_999))
	for in.Memory.Held() < 7_900_000 { // two copies
		time.Sleep(time.Millisecond)
	}
	const whole = 2_500_000
	ordinary := send(t, addr, "127.0.0.3", strings.Replace(head, "4000000", "2500000", 1)+strings.Repeat("b", whole))
	resp, err := http.ReadResponse(bufio.NewReader(ordinary), nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
	resp, err = http.ReadResponse(bufio.NewReader(stopped), nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusRequestTimeout)
}

// Guards against memory that stays claimed for a peer that doesn't read, although others
// need it.
func TestUnreadResponseGivesWay(t *testing.T) {
	is := is.New(t)
	m := limits.NewMemory(1<<20, nil)
	ended := make(chan error, 1)
	in := newIntake(64)
	addr := startServer(t, in, func(w http.ResponseWriter, r *http.Request) {
		c := NewClaim(m, w, r)
		defer c.Release()
		c.EndWait()
		_ = c.Resize(700 << 10)
		data := make([]byte, 64<<20)
		ended <- c.Write(len(data), func() error {
			_, err := w.Write(data)
			return err
		})
	})
	unread := send(t, addr, "127.0.0.2", "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	_, err := unread.Read(make([]byte, 1)) // the response has begun
	is.NoErr(err)
	other := m.Claim("127.0.0.3", func() {})
	defer other.Release()
	for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		if err = other.Grow(300 << 10); err == nil || time.Now().After(deadline) {
			break
		}
	}
	is.NoErr(err)
	is.True(<-ended != nil)
}

// revokingBody is a body whose claim is revoked between its last byte and its end.
type revokingBody struct {
	io.Reader
	revoke func()
}

func (b *revokingBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err == io.EOF {
		b.revoke()
	}
	return n, err
}

func (b *revokingBody) Close() error { return nil }

// Guards against a request that is passed on although its claim was revoked when its last
// byte had just arrived: its connection then has a read deadline in the past, for which
// package http cancels the request while it runs.
func TestBodyRevokedAfterItsLastByteIsRefused(t *testing.T) {
	is := is.New(t)
	m := limits.NewMemory(1<<20, nil)
	r := httptest.NewRequest(http.MethodPost, "/", nil)
	r.ContentLength = -1
	c := NewClaim(m, httptest.NewRecorder(), r)
	other := m.Claim("other", func() {})
	is.NoErr(other.Grow(400 << 10))
	other.EndWait()
	growing := m.Claim("192.0.2.1", func() {})
	grown := make(chan error, 1)
	r.Body = &revokingBody{strings.NewReader(strings.Repeat("b", 100<<10)), func() {
		go func() { grown <- growing.Grow(300 << 10) }()
		for !c.Revoked() {
			time.Sleep(time.Millisecond)
		}
	}}
	_, err := c.ReadBody(r, 1<<20, 2)
	is.True(errors.Is(err, limits.ErrRevoked))
	c.Release()
	is.NoErr(<-grown)
}
