package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// gate is a safety check in the source and the edit that disables it.
type gate struct {
	// name describes what the check prevents.
	name string
	file string
	// check is the source of the check, which must occur exactly once in file; replacement
	// is the source that disables it.
	check, replacement string
	// packages are the packages whose tests must fail without the check, relative to the
	// root of the module.
	packages []string
}

// disable disables the check in a copy of the sources and returns a function that restores
// it.
func (g gate) disable(dir string) (restore func() error, err error) {
	path := filepath.Join(dir, g.file)
	source, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	if n := strings.Count(string(source), g.check); n != 1 {
		return nil, fmt.Errorf("%s: %q occurs %d times, want once", g.file, g.check, n)
	}
	edited := strings.Replace(string(source), g.check, g.replacement, 1)
	return func() error { return os.WriteFile(path, source, 0o644) }, os.WriteFile(path, []byte(edited), 0o644)
}
