// Package configcheck validates a configuration before it is sent: a desired state of the users' platform or
// the routes of the catalogue, told apart by their content. The rules are those of package httproute, by which
// nodes accept what they read.
package configcheck

import (
	"fmt"

	"github.com/basilway/basilway/httproute"
	"github.com/basilway/basilway/platform"
)

// Configuration is a decoded configuration with what is wrong with it.
type Configuration struct {
	Snapshot httproute.Snapshot
	Findings []httproute.Finding
	// Platform is set for a desired state of the users' platform.
	Platform bool
}

// Read decodes a configuration. The error is set if it can't be decoded at all.
func Read(data []byte) (Configuration, error) {
	if platform.IsDesiredState(data) {
		snapshot, found, err := platform.CheckDesiredState(data)
		return Configuration{snapshot, found, true}, err
	}
	document, err := httproute.ParseDocument(data)
	if err != nil {
		return Configuration{}, err
	}
	snapshot, found := document.Check()
	return Configuration{Snapshot: snapshot, Findings: found}, nil
}

// Report is the result of a check.
type Report struct {
	// Valid is set if there are only notes.
	Valid    bool                `json:"valid"`
	Findings []httproute.Finding `json:"findings"`
	// Differences are the changes from the version in force; nil if none was given.
	Differences []httproute.Difference `json:"differences,omitempty"`
}

// Check returns the report on a configuration. against, if not nil, is the one in force.
func Check(c Configuration, against *Configuration) Report {
	r := Report{Valid: true, Findings: append([]httproute.Finding{}, c.Findings...)}
	if against != nil {
		r.Differences = httproute.Differences(against.Snapshot, c.Snapshot)
		r.Findings = append(r.Findings, versionFindings(c, *against, len(r.Differences) > 0)...)
	}
	for _, f := range r.Findings {
		r.Valid = r.Valid && f.Severity == httproute.Note
	}
	return r
}

// versionFindings returns what keeps a configuration from replacing the one in force.
func versionFindings(c, against Configuration, differ bool) []httproute.Finding {
	version, inForce := c.Snapshot.Version, against.Snapshot.Version
	reason := ""
	switch {
	case c.Platform != against.Platform:
		reason = "one file is a desired state of the platform and the other holds routes of the catalogue"
	case c.Platform && version < inForce:
		reason = fmt.Sprintf("%d is older than %d, which is in force; nodes ignore it", version, inForce)
	case c.Platform && version == inForce && differ:
		reason = fmt.Sprintf("%d is in force already with other contents", version)
	case !c.Platform && version != 0 && version != inForce:
		reason = fmt.Sprintf("the edit is based on %d, but %d is in force; it is refused", version, inForce)
	default:
		return nil
	}
	return []httproute.Finding{{Severity: httproute.Error, Place: "version", Reason: reason}}
}
