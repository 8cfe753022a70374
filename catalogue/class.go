// Package catalogue holds the service entries that operators edit: the owner team, class
// and limits of each service. A State depends only on the changes of the catalogue feed,
// applied in order, so daemons at the same version have equal states.
package catalogue

import "fmt"

// Class is the priority of a service's requests. A greater value is more important, so
// classes can be compared with < and >.
type Class uint8

// The classes. The values are stored; do not renumber them.
const (
	// ClassBackground is rejected first.
	ClassBackground Class = 1
	ClassStandard   Class = 2
	// ClassCritical is rejected last.
	ClassCritical Class = 3
)

// Classes lists all classes, lowest first.
var Classes = [...]Class{ClassBackground, ClassStandard, ClassCritical}

// Valid reports whether c is one of Classes.
func (c Class) Valid() bool { return c >= ClassBackground && c <= ClassCritical }

// String returns the name that operators use.
func (c Class) String() string {
	switch c {
	case ClassBackground:
		return "background"
	case ClassStandard:
		return "standard"
	case ClassCritical:
		return "critical"
	default:
		return fmt.Sprintf("class(%d)", uint8(c))
	}
}

// ParseClass parses the result of Class.String.
func ParseClass(text string) (Class, error) {
	for _, c := range Classes {
		if text == c.String() {
			return c, nil
		}
	}
	return 0, fmt.Errorf("class %q is not one of critical, standard and background", text)
}
