package main

import (
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Dimensions of the plot.
const (
	rowHeight = 0.28 * vg.Inch // of each difference
	margins   = 1.2 * vg.Inch  // title, axis and its labels together
	width     = 8 * vg.Inch
)

// errorBars are the plotted differences, one above the other, with their confidence intervals.
type errorBars struct {
	plotter.XYs
	plotter.XErrors
}

// draw plots the difference of each variant on each day, with its confidence interval, to a file.
// It leaves out days with fewer than two pairs, and writes no file if that leaves none.
func draw(days []day, variants []string, file string) error {
	p := plot.New()
	p.Title.Text = "worth minus that of " + variants[0] + ", mean and 95 % interval of the pairs"
	var b errorBars
	var names []string
	for _, v := range variants[1:] {
		for i := range days {
			d := differenceOf(worthDifferences(&days[i], variants[0], v))
			if d.n < 2 {
				continue
			}
			b.XYs = append(b.XYs, plotter.XY{X: d.mean, Y: float64(len(names))})
			b.XErrors = append(b.XErrors, struct{ Low, High float64 }{d.halfWidth, d.halfWidth})
			names = append(names, v+", "+days[i].name)
		}
	}
	if len(names) == 0 {
		return nil // no day has two pairs
	}
	points, err := plotter.NewScatter(b)
	if err != nil {
		return err
	}
	intervals, err := plotter.NewXErrorBars(b)
	if err != nil {
		return err
	}
	p.Add(plotter.NewGrid(), points, intervals)
	p.NominalY(names...)
	return p.Save(width, margins+rowHeight*vg.Length(len(names)), file)
}
