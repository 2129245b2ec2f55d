package winch

import "context"

type progressKey struct{}

// WithProgress returns a context for a call whose response may take long. The client calls f with the number of bytes
// whenever a part of the response has arrived.
func WithProgress(ctx context.Context, f func(bytes int)) context.Context {
	return context.WithValue(ctx, progressKey{}, f)
}

// ReportProgress reports that a part of the response to a call has arrived.
func ReportProgress(ctx context.Context, bytes int) {
	if f, ok := ctx.Value(progressKey{}).(func(int)); ok {
		f(bytes)
	}
}
