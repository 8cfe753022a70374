// Package explain tells from the logs of several nodes what happened to one request.
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

// maxLine is the size in bytes of the longest log line that is read.
const maxLine = 1 << 20

// Line is one log line about the request.
type Line struct {
	Time     time.Time
	Instance string
	Message  string
	// Fields are the other fields in the order of their names, as name=value.
	Fields []string
	// values are the fields by name.
	values map[string]any
}

// Story is what the logs say of one request.
type Story struct {
	ID    string
	Lines []Line
	// Unreadable counts lines that are no log lines.
	Unreadable int
	// Instances are all that wrote log lines, whether about the request or not.
	Instances map[string]bool
}

// Collect reads logs and keeps the lines about a request. Text before the first brace of
// a line is ignored.
func Collect(id string, logs ...io.Reader) (*Story, error) {
	s := &Story{ID: id, Instances: map[string]bool{}}
	for _, log := range logs {
		lines := bufio.NewScanner(log)
		lines.Buffer(nil, maxLine)
		for lines.Scan() {
			s.add(lines.Bytes())
		}
		if err := lines.Err(); err != nil {
			return nil, fmt.Errorf("logs: %w", err)
		}
	}
	slices.SortStableFunc(s.Lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return s, nil
}

func (s *Story) add(text []byte) {
	at := bytes.IndexByte(text, '{')
	if at < 0 {
		s.Unreadable++
		return
	}
	var values map[string]any
	if err := json.Unmarshal(text[at:], &values); err != nil {
		s.Unreadable++
		return
	}
	instance, _ := values["instance"].(string)
	s.Instances[instance] = true
	if values["request"] != s.ID {
		return
	}
	line := Line{Instance: instance, values: values}
	line.Message, _ = values["msg"].(string)
	stamp, _ := values["ts"].(string)
	when, err := time.Parse(time.RFC3339Nano, stamp)
	if err != nil {
		s.Unreadable++
		return
	}
	line.Time = when
	for name, value := range values {
		switch name {
		case "ts", "msg", "instance", "request", "level", "logger":
		default:
			line.Fields = append(line.Fields, fmt.Sprintf("%s=%v", name, value))
		}
	}
	slices.Sort(line.Fields)
	s.Lines = append(s.Lines, line)
}

// Write tells the story in the order of time, and what is missing.
func (s *Story) Write(w io.Writer) error {
	var out strings.Builder
	for _, line := range s.Lines {
		fmt.Fprintf(&out, "%s  %s: %s\n", line.Time.UTC().Format("15:04:05.000"), line.Instance, line.Message)
		fmt.Fprintf(&out, "              %s\n", strings.Join(line.Fields, " "))
	}
	for _, note := range s.missing() {
		fmt.Fprintf(&out, "missing: %s\n", note)
	}
	_, err := io.WriteString(w, out.String())
	return err
}

// missing says what the logs do not tell.
func (s *Story) missing() []string {
	var out []string
	if len(s.Lines) == 0 {
		out = append(out, fmt.Sprintf("no line about request %s in the logs of %d instances; a request that is served at its first try within its target has none, and lines of a kind are sampled beyond 40 a second", s.ID, len(s.Instances)))
	}
	if s.Unreadable > 0 {
		out = append(out, fmt.Sprintf("%d lines are no log lines", s.Unreadable))
	}
	for _, line := range s.Lines {
		visited, _ := line.values["instances"].([]any)
		for _, instance := range visited {
			if name, _ := instance.(string); !s.Instances[name] {
				out = append(out, fmt.Sprintf("the logs of %s, to which the request was sent", name))
			}
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}
