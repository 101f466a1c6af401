// Package explain finds in the logs of entries and agents why a request ended
// as it did.
package explain

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"
)

const (
	// before and after are how far from a request's time lines are looked for:
	// the time in which a dead endpoint or coordinator is noticed.
	before = 3 * time.Second
	after  = 3 * time.Second
	// maxAround bounds the lines that are shown beside the request's own.
	maxAround = 40
	// maxLine bounds one line in bytes.
	maxLine = 1 << 20
	// stamp is the layout of the lines' time.
	stamp = "2006-01-02 15:04:05.999999"
)

// ErrNotFound means that no log has a line on the request.
var ErrNotFound = errors.New("no line on this request; name the logs of all entries, or look at lines_left_out, which counts lines that were not written")

// Line is one line of a process's log.
type Line struct {
	// Source names the process: what stands before the line, or the file.
	Source  string
	Time    time.Time
	Logger  string
	Message string
	Fields  map[string]any
}

// Parse reads one line. Anything before the opening brace names the source.
func Parse(line, source string) (Line, bool) {
	at := strings.IndexByte(line, '{')
	if at < 0 {
		return Line{}, false
	}
	var fields map[string]any
	d := json.NewDecoder(strings.NewReader(line[at:]))
	d.UseNumber() // versions are too long for a float to print well
	if d.Decode(&fields) != nil {
		return Line{}, false
	}
	if words := strings.Fields(line[:at]); len(words) > 0 {
		source = words[len(words)-1]
	}
	l := Line{Source: source, Fields: fields}
	l.Logger, _ = fields["logger"].(string)
	l.Message, _ = fields["msg"].(string)
	ts, _ := fields["ts"].(string)
	for _, name := range []string{"logger", "msg", "ts", "level"} {
		delete(fields, name)
	}
	var err error
	if l.Time, err = time.Parse(stamp, ts); err != nil || l.Message == "" {
		return Line{}, false
	}
	return l, true
}

// Log is one log that can be read again.
type Log struct {
	Name string
	Open func() (io.ReadCloser, error)
}

// Files returns the logs in the named files.
func Files(paths ...string) []Log {
	var found []Log
	for _, path := range paths {
		found = append(found, Log{Name: path, Open: func() (io.ReadCloser, error) { return os.Open(path) }})
	}
	return found
}

func (l Log) each(f func(Line)) error {
	r, err := l.Open()
	if err != nil {
		return err
	}
	defer r.Close()
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLine)
	for s.Scan() {
		if line, ok := Parse(s.Text(), filepath.Base(l.Name)); ok {
			f(line)
		}
	}
	return s.Err()
}

// Report says what became of a request.
type Report struct {
	// RequestLines are the request's own lines; more than one if it reached several
	// entries.
	RequestLines []Line
	// Related are other lines that bear on it, in order of time.
	Related []Line
}

// Find looks for a request in the logs.
func Find(id string, logs []Log) (*Report, error) {
	r := &Report{}
	// agents tells which source is the agent beside which address, endpoints
	// the address of each endpoint.
	agents, endpoints := make(map[string]string), make(map[string]string)
	for _, log := range logs {
		err := log.each(func(l Line) {
			switch {
			case l.Message == "Request ended." && l.field("request") == id:
				r.RequestLines = append(r.RequestLines, l)
			case l.Message == "Agent starts.":
				agents[l.Source] = l.field("endpoint")
			case l.Message == "Endpoint changed.":
				endpoints[l.field("endpoint")] = l.field("address")
			}
		})
		if err != nil {
			return nil, err
		}
	}
	if len(r.RequestLines) == 0 {
		return nil, ErrNotFound
	}
	slices.SortFunc(r.RequestLines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	for _, log := range logs {
		err := log.each(func(l Line) {
			for _, e := range r.RequestLines {
				if bears(l, e, agents, endpoints) {
					r.Related = append(r.Related, l)
					return
				}
			}
		})
		if err != nil {
			return nil, err
		}
	}
	slices.SortFunc(r.Related, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return r, nil
}

// groupLines are what agents say about their whole group.
var groupLines = map[string]bool{
	"Coordinating.": true, "Coordination ends; another agent took over.": true, "Group formed.": true,
	"Undoing another coordinator's switch.": true, "Group not complete.": true, "Rank not polled.": true,
}

// bears reports whether a line may say why a request ended as it did.
func bears(l, ended Line, agents, endpoints map[string]string) bool {
	took := time.Duration(ended.number("ms")) * time.Millisecond
	if l.Time.Before(ended.Time.Add(-took-before)) || l.Time.After(ended.Time.Add(after)) || l.Message == "Request ended." {
		return false
	}
	if l.Source == ended.Source {
		// Of the entry's lines on endpoints, only those on this request's; other
		// entries that come and go don't touch it.
		endpoint := l.field("endpoint")
		return (endpoint == "" || endpoint == ended.field("endpoint")) && !strings.HasSuffix(l.Logger, "/entries")
	}
	address, isAgent := agents[l.Source]
	if !isAgent {
		return false
	}
	return groupLines[l.Message] || address != "" && address == endpoints[ended.field("endpoint")] && l.Message != "Order given."
}

func (l Line) field(name string) string {
	s, _ := l.Fields[name].(string)
	return s
}

func (l Line) number(name string) float64 {
	n, ok := l.Fields[name].(json.Number)
	if !ok {
		return 0
	}
	f, err := n.Float64()
	if err != nil {
		return 0 // out of range; the line shows the number itself
	}
	return f
}

func (l Line) flag(name string) bool {
	b, _ := l.Fields[name].(bool)
	return b
}

// String returns the line as on-call engineers read it.
func (l Line) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s %s: %s", l.Time.Format("15:04:05.000"), l.Source, l.Logger, l.Message)
	for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
		fmt.Fprintf(&b, " %s=%v", name, l.Fields[name])
	}
	return b.String()
}

// Write prints the report.
func (r *Report) Write(w io.Writer) error {
	var b strings.Builder
	for _, e := range r.RequestLines {
		fmt.Fprintf(&b, "%s\n  %s\n", e, strings.Join(Explain(e), "\n  "))
	}
	if len(r.Related) > 0 {
		b.WriteString("around it:\n")
	}
	shown := r.Related[:min(len(r.Related), maxAround)]
	for _, l := range shown {
		fmt.Fprintf(&b, "  %s\n", l)
	}
	if more := len(r.Related) - len(shown); more > 0 {
		fmt.Fprintf(&b, "  and %d more lines\n", more)
	}
	_, err := io.WriteString(w, b.String())
	return err
}
