package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// gate is one safety check and the edit that makes it let everything through.
type gate struct {
	// name says what the gate keeps out.
	name string
	file string
	// closed is the check as it stands in the file, exactly once; open replaces it.
	closed, open string
	// packages are those whose tests must notice, relative to the module's root.
	packages []string
}

// force opens the gate in a copy of the sources and returns a function that closes it.
func (g gate) force(dir string) (restore func() error, err error) {
	path := filepath.Join(dir, g.file)
	source, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	if n := strings.Count(string(source), g.closed); n != 1 {
		return nil, fmt.Errorf("%s: %q is there %d times; once is expected", g.file, g.closed, n)
	}
	edited := strings.Replace(string(source), g.closed, g.open, 1)
	return func() error { return os.WriteFile(path, source, 0o644) }, os.WriteFile(path, []byte(edited), 0o644)
}
