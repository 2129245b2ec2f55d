package trial

import (
	"image/color"
	"os"
	"path/filepath"
	"strings"

	"github.com/ansel1/merry/v2"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Size of a plot, and the end of its time axis as a multiple of the objective.
const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
	maxRatio   = 4.0
)

// queueColors holds the colors of the queues, in the order of their names: blue, orange, green and
// red of the Okabe-Ito palette, which color-blind readers can distinguish.
var queueColors = []color.RGBA{{0, 114, 178, 255}, {230, 159, 0, 255}, {0, 158, 115, 255}, {213, 94, 0, 255}}

// Plot writes an SVG file for each outcome into a folder. It shows for each queue the fraction of
// its jobs that were completed within a given multiple of their objective.
func Plot(folder string, all []Outcome) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return merry.Prepend(err, "creating the folder for plots failed")
	}
	for _, o := range all {
		p, err := o.plot()
		if err != nil {
			return merry.Prepend(err, "creating the plot of pattern "+o.Pattern+" failed")
		}
		name := strings.Join(append([]string{o.Pattern}, o.Without...), "-without-") + ".svg"
		if err := p.Save(plotWidth, plotHeight, filepath.Join(folder, name)); err != nil {
			return merry.Prepend(err, "writing the plot failed")
		}
	}
	return nil
}

// plot returns the plot of an outcome, with one line for each queue.
func (o Outcome) plot() (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = strings.Join(append([]string{o.Pattern}, o.Without...), " without ")
	p.X.Label.Text, p.Y.Label.Text = "time taken / objective", "share of jobs"
	p.X.Min, p.X.Max, p.Y.Min, p.Y.Max = 0, maxRatio, 0, 1
	p.Legend.Left = false
	p.Add(plotter.NewGrid())
	for i, q := range o.Queues {
		line, err := plotter.NewLine(q.curve())
		if err != nil {
			return nil, err
		}
		line.Color = queueColors[i%len(queueColors)]
		line.Width = vg.Points(1.5)
		p.Add(line)
		p.Legend.Add(q.Queue, line)
	}
	return p, nil
}

// curve returns the fraction of jobs that were completed by each ratio, as a step function.
func (s QueueOutcome) curve() plotter.XYs {
	out := plotter.XYs{{X: 0, Y: 0}}
	fraction := func(n int) float64 { return float64(n) / float64(max(1, s.Jobs)) }
	for i, ratio := range s.Ratios {
		if ratio > maxRatio {
			break
		}
		out = append(out, plotter.XY{X: ratio, Y: fraction(i)}, plotter.XY{X: ratio, Y: fraction(i + 1)})
	}
	last := out[len(out)-1]
	return append(out, plotter.XY{X: maxRatio, Y: last.Y})
}
