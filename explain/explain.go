// Package explain finds the reason for the outcome of a request in the logs of
// entries and agents.
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
	// lookBehind and lookAhead bound the related lines: from before the
	// request's arrival until after its end. They cover the time in which the
	// loss of an endpoint or a coordinator is detected.
	lookBehind = 3 * time.Second
	lookAhead  = 3 * time.Second
	// maxRelated bounds the number of related lines in a printed report.
	maxRelated = 40
	// maxLineBytes bounds the length of a line.
	maxLineBytes = 1 << 20
	// timestampLayout is the layout of the lines' timestamps.
	timestampLayout = "2006-01-02 15:04:05.999999"
)

// ErrNotFound means that no log has a line about the request.
var ErrNotFound = errors.New("no log line about this request; name the logs of all entries, or check the field lines_left_out, which counts dropped lines")

// Line is one parsed log line.
type Line struct {
	// Source names the process: the last word before the JSON object, or else
	// the name of the log file.
	Source  string
	Time    time.Time
	Logger  string
	Message string
	Fields  map[string]any
}

// Parse parses one line. The last word before the opening brace, if any,
// replaces source. It reports whether the line is a log record.
func Parse(line, source string) (Line, bool) {
	at := strings.IndexByte(line, '{')
	if at < 0 {
		return Line{}, false
	}
	var fields map[string]any
	d := json.NewDecoder(strings.NewReader(line[at:]))
	d.UseNumber() // versions would print badly as floats
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
	if l.Time, err = time.Parse(timestampLayout, ts); err != nil || l.Message == "" {
		return Line{}, false
	}
	return l, true
}

// Log is a log that can be opened several times.
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

// forEachLine calls f with each line of the log that is a log record.
func (l Log) forEachLine(f func(Line)) error {
	r, err := l.Open()
	if err != nil {
		return err
	}
	defer r.Close()
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	for s.Scan() {
		if line, ok := Parse(s.Text(), filepath.Base(l.Name)); ok {
			f(line)
		}
	}
	return s.Err()
}

// Report holds the log lines that explain the outcome of a request.
type Report struct {
	// RequestLines are the lines that report the end of the request: more than one
	// if it reached several entries.
	RequestLines []Line
	// Related are other lines that may explain the outcome, in order of time.
	Related []Line
}

// Find searches the logs for a request. It returns ErrNotFound if no line
// reports its end.
func Find(id string, logs []Log) (*Report, error) {
	r := &Report{}
	// agentEndpoints maps the source of an agent's log to the address of the
	// endpoint beside it, endpointAddresses the ID of an endpoint to its address.
	agentEndpoints, endpointAddresses := make(map[string]string), make(map[string]string)
	for _, log := range logs {
		err := log.forEachLine(func(l Line) {
			switch {
			case l.Message == "Request ended." && l.stringField("request") == id:
				r.RequestLines = append(r.RequestLines, l)
			case l.Message == "Agent starts.":
				agentEndpoints[l.Source] = l.stringField("endpoint")
			case l.Message == "Endpoint changed.":
				endpointAddresses[l.stringField("endpoint")] = l.stringField("address")
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
		err := log.forEachLine(func(l Line) {
			for _, ended := range r.RequestLines {
				if isRelated(l, ended, agentEndpoints, endpointAddresses) {
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

// groupMessages are the messages of agents that concern the whole rank group.
var groupMessages = map[string]bool{
	"Coordinating.": true, "Coordination ends; another agent took over.": true, "Group formed.": true,
	"Undoing another coordinator's switch.": true, "Group not complete.": true, "Rank not polled.": true,
}

// isRelated reports whether a line may explain the outcome of the request that
// ended with the line ended.
func isRelated(l, ended Line, agentEndpoints, endpointAddresses map[string]string) bool {
	took := time.Duration(ended.numberField("ms")) * time.Millisecond
	if l.Time.Before(ended.Time.Add(-took-lookBehind)) || l.Time.After(ended.Time.Add(lookAhead)) || l.Message == "Request ended." {
		return false
	}
	if l.Source == ended.Source {
		// Of this entry's lines, those about other endpoints aren't related, nor
		// are those about entries that join or leave.
		endpoint := l.stringField("endpoint")
		return (endpoint == "" || endpoint == ended.stringField("endpoint")) && !strings.HasSuffix(l.Logger, "/entries")
	}
	address, isAgent := agentEndpoints[l.Source]
	if !isAgent {
		return false
	}
	return groupMessages[l.Message] || address != "" && address == endpointAddresses[ended.stringField("endpoint")] && l.Message != "Order given."
}

func (l Line) stringField(name string) string {
	s, _ := l.Fields[name].(string)
	return s
}

func (l Line) numberField(name string) float64 {
	n, ok := l.Fields[name].(json.Number)
	if !ok {
		return 0
	}
	f, err := n.Float64()
	if err != nil {
		return 0 // out of range; the printed line shows the number itself
	}
	return f
}

func (l Line) boolField(name string) bool {
	b, _ := l.Fields[name].(bool)
	return b
}

// String formats the line for operators.
func (l Line) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s %s: %s", l.Time.Format("15:04:05.000"), l.Source, l.Logger, l.Message)
	for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
		fmt.Fprintf(&b, " %s=%v", name, l.Fields[name])
	}
	return b.String()
}

// Write prints the report, with an explanation of each request line.
func (r *Report) Write(w io.Writer) error {
	var b strings.Builder
	for _, ended := range r.RequestLines {
		fmt.Fprintf(&b, "%s\n  %s\n", ended, strings.Join(Explain(ended), "\n  "))
	}
	if len(r.Related) > 0 {
		b.WriteString("related log lines:\n")
	}
	shown := r.Related[:min(len(r.Related), maxRelated)]
	for _, l := range shown {
		fmt.Fprintf(&b, "  %s\n", l)
	}
	if more := len(r.Related) - len(shown); more > 0 {
		fmt.Fprintf(&b, "  and %d more lines\n", more)
	}
	_, err := io.WriteString(w, b.String())
	return err
}
