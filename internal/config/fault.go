package config

import (
	"fmt"
	"strings"
)

// Fault is one setting that a person must correct.
type Fault struct {
	Flag string
	// Env is the environment variable of the same setting.
	Env string
	// Value is as given; secrets are replaced.
	Value   string
	Allowed string
}

// String returns the fault as one sentence.
func (f Fault) String() string {
	return fmt.Sprintf("--%s (%s) is %q, allowed: %s", f.Flag, f.Env, f.Value, f.Allowed)
}

// Error lists all faults of the settings.
type Error struct {
	// Faults holds at most one fault for each setting, in the order of the help text.
	Faults []Fault
}

// Error implements error, with one line for each fault.
func (e *Error) Error() string {
	var b strings.Builder
	b.WriteString("invalid settings:")
	for _, f := range e.Faults {
		b.WriteString("\n  ")
		b.WriteString(f.String())
	}
	return b.String()
}
