package cli

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"connectrpc.com/connect"

	basilwayv1 "github.com/basilway/basilway/gen/basilway/v1"
)

// usageError reports an invalid flag or argument.
type usageError struct{ message string }

// Error implements error.
func (e *usageError) Error() string { return e.message }

func asUsageError(err error, target **usageError) bool { return errors.As(err, target) }

// describe returns the message of an error with the details that the daemon attached.
func describe(err error) string {
	var ce *connect.Error
	if !errors.As(err, &ce) {
		return err.Error()
	}
	parts := []string{ce.Message()}
	for _, d := range ce.Details() {
		value, detailErr := d.Value()
		if detailErr != nil {
			continue
		}
		switch v := value.(type) {
		case *basilwayv1.ErrorDetail:
			parts = append(parts, describeDetail(v))
		case *basilwayv1.CatalogueConflict:
			parts = append(parts, describeConflict(v))
		}
	}
	return strings.Join(parts, "; ")
}

func describeDetail(d *basilwayv1.ErrorDetail) string {
	text := "verdict: " + verdictName(d.Verdict)
	if d.RetryAfterMs > 0 {
		text += fmt.Sprintf(", try again after %s", time.Duration(d.RetryAfterMs)*time.Millisecond)
	}
	return text
}

func describeConflict(c *basilwayv1.CatalogueConflict) string {
	if c.Current == nil || c.Current.Version == 0 {
		return "the entry does not exist"
	}
	return fmt.Sprintf("the entry is now at version %d (owner %s, class %s)",
		c.Current.Version, c.Current.Owner, c.Current.Class)
}

func verdictName(v basilwayv1.Verdict) string {
	return strings.ToLower(strings.TrimPrefix(v.String(), "VERDICT_"))
}
