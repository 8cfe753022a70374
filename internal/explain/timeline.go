// Package explain builds a timeline of one request from the logs of several nodes.
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// maxLineBytes is the size of the longest log line that can be read.
const maxLineBytes = 1 << 20

// Line is one log line about the request.
type Line struct {
	Time     time.Time
	Instance string
	Message  string
	// Fields are the remaining fields as name=value, sorted by name.
	Fields []string
	// values holds all fields by name.
	values map[string]any
}

// Timeline holds what the logs say about one request.
type Timeline struct {
	ID    string
	Lines []Line
	// Unreadable is the number of lines that cannot be parsed as log lines.
	Unreadable int
	// Instances holds all instances that wrote log lines, about this request or not.
	Instances map[string]bool
}

// Collect reads logs and returns the lines about a request in order of time. Text before
// the first brace of a line is ignored.
func Collect(id string, logs ...io.Reader) (*Timeline, error) {
	t := &Timeline{ID: id, Instances: map[string]bool{}}
	for _, log := range logs {
		lines := bufio.NewScanner(log)
		lines.Buffer(nil, maxLineBytes)
		for lines.Scan() {
			t.addLine(lines.Bytes())
		}
		if err := lines.Err(); err != nil {
			return nil, fmt.Errorf("read logs: %w", err)
		}
	}
	slices.SortStableFunc(t.Lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return t, nil
}

func (t *Timeline) addLine(text []byte) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		t.Unreadable++
		return
	}
	var values map[string]any
	if err := json.Unmarshal(text[start:], &values); err != nil {
		t.Unreadable++
		return
	}
	instance, _ := values["instance"].(string)
	t.Instances[instance] = true
	if values["request"] != t.ID {
		return
	}
	line := Line{Instance: instance, values: values}
	line.Message, _ = values["msg"].(string)
	timestamp, _ := values["ts"].(string)
	at, err := time.Parse(time.RFC3339Nano, timestamp)
	if err != nil {
		t.Unreadable++
		return
	}
	line.Time = at
	for name, value := range values {
		switch name {
		case "ts", "msg", "instance", "request", "level", "logger":
		default:
			line.Fields = append(line.Fields, fmt.Sprintf("%s=%v", name, value))
		}
	}
	slices.Sort(line.Fields)
	t.Lines = append(t.Lines, line)
}

// Write prints the lines in order of time and what is missing from the logs.
func (t *Timeline) Write(w io.Writer) error {
	var out strings.Builder
	for _, line := range t.Lines {
		fmt.Fprintf(&out, "%s  %s: %s\n", line.Time.UTC().Format("15:04:05.000"), line.Instance, line.Message)
		fmt.Fprintf(&out, "              %s\n", strings.Join(line.Fields, " "))
	}
	for _, gap := range t.gaps() {
		fmt.Fprintf(&out, "missing: %s\n", gap)
	}
	_, err := io.WriteString(w, out.String())
	return err
}

// gaps describes what is missing from the logs.
func (t *Timeline) gaps() []string {
	var out []string
	if len(t.Lines) == 0 {
		out = append(out, fmt.Sprintf("no line about request %s in the logs of %d instances; requests that succeed on the first try within their target time are not logged, and beyond 40 lines a second, lines with the same message are sampled", t.ID, len(t.Instances)))
	}
	if t.Unreadable > 0 {
		out = append(out, fmt.Sprintf("%d lines are not log lines", t.Unreadable))
	}
	for _, line := range t.Lines {
		visited, _ := line.values["instances"].([]any)
		for _, instance := range visited {
			if name, _ := instance.(string); !t.Instances[name] {
				out = append(out, fmt.Sprintf("the logs of %s, to which the request was sent", name))
			}
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}
