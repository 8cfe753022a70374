package config

import (
	"fmt"
	"strings"
)

// Problem describes a setting with an invalid value.
type Problem struct {
	Flag string
	// Env is the environment variable of the same setting.
	Env string
	// Value is the given text; secrets are redacted.
	Value   string
	Allowed string
}

// String returns the problem as one sentence.
func (p Problem) String() string {
	return fmt.Sprintf("--%s (%s) is %q, allowed: %s", p.Flag, p.Env, p.Value, p.Allowed)
}

// Error lists all problems of the settings.
type Error struct {
	// Problems holds at most one problem for each setting, in the order of the help text.
	Problems []Problem
}

// Error implements error. The text has one line for each problem.
func (e *Error) Error() string {
	var b strings.Builder
	b.WriteString("invalid settings:")
	for _, p := range e.Problems {
		b.WriteString("\n  ")
		b.WriteString(p.String())
	}
	return b.String()
}
