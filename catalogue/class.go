// Package catalogue holds the entries that operators edit: a service with its owner,
// class and limits. Book is the pure result of applying the catalogue feed in order,
// so it is equal on all daemons at equal versions.
package catalogue

import "fmt"

// Class ranks the requests of a service. A greater value is more important, so
// classes are compared with < and >.
type Class uint8

// The classes. Values are stored; do not renumber.
const (
	// ClassBackground is rejected first.
	ClassBackground Class = 1
	ClassStandard   Class = 2
	// ClassCritical is rejected last.
	ClassCritical Class = 3
)

// Classes lists all classes, the lowest first.
var Classes = [...]Class{ClassBackground, ClassStandard, ClassCritical}

// Valid reports whether c is one of Classes.
func (c Class) Valid() bool { return c >= ClassBackground && c <= ClassCritical }

// String returns the name that operators write.
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

// ParseClass reverses Class.String.
func ParseClass(text string) (Class, error) {
	for _, c := range Classes {
		if text == c.String() {
			return c, nil
		}
	}
	return 0, fmt.Errorf("class %q is not one of critical, standard and background", text)
}
