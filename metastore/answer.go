package metastore

import "context"

// answerKey is the key of the hook in a context.
type answerKey struct{}

// WithAnswerHook returns a context for a read of a WatchedTable in which began is called when the store's
// answer begins to arrive, perhaps more than once. A long answer may take much longer than its first byte.
func WithAnswerHook(ctx context.Context, began func()) context.Context {
	return context.WithValue(ctx, answerKey{}, began)
}

// AnswerBegan calls the hook of a context, if it has one. Implementations of WatchedTable that read from a
// network call it before they read the rows.
func AnswerBegan(ctx context.Context) {
	if began, ok := ctx.Value(answerKey{}).(func()); ok {
		began()
	}
}
