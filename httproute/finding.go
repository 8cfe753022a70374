package httproute

import "fmt"

// Severity tells what a finding means for the nodes.
type Severity uint8

const (
	// Note means that the nodes do not use an entry, which may be meant for others.
	Note Severity = iota
	// Warning means that the nodes accept the snapshot, but a part of it can't do what it says.
	Warning
	// Error means that the nodes refuse the whole snapshot and keep the one in force.
	Error
)

// String returns the name of the severity.
func (s Severity) String() string {
	return [...]string{"note", "warning", "error"}[s]
}

// MarshalText implements encoding.TextMarshaler.
func (s Severity) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *Severity) UnmarshalText(text []byte) error {
	for _, known := range []Severity{Note, Warning, Error} {
		if known.String() == string(text) {
			*s = known
			return nil
		}
	}
	return fmt.Errorf("unknown severity %q", text)
}

// Finding is something wrong with a snapshot.
type Finding struct {
	Severity Severity `json:"severity"`
	// Place names the entry, such as route "book".
	Place  string `json:"place"`
	Reason string `json:"reason"`
}

// String returns the place and the reason.
func (f Finding) String() string {
	if f.Place == "" {
		return f.Reason
	}
	return f.Place + ": " + f.Reason
}

// findings collects what is found at one place.
type findings struct {
	place string
	all   []Finding
}

func (f *findings) error(format string, args ...any) { f.add(Error, format, args...) }

func (f *findings) warn(format string, args ...any) { f.add(Warning, format, args...) }

func (f *findings) add(severity Severity, format string, args ...any) {
	f.all = append(f.all, Finding{severity, f.place, fmt.Sprintf(format, args...)})
}
