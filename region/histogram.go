package region

import "github.com/rcrowley/go-metrics"

const (
	// sampleSize and sampleAlpha are the size and the decay of a histogram's sample: that of the last minutes.
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// histogram returns the histogram with a name. Its sample is allocated only when it is registered.
func histogram(r metrics.Registry, name string) metrics.Histogram {
	return r.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	}).(metrics.Histogram)
}
