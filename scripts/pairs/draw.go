package main

import (
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Sizes of the picture.
const (
	rowHeight = 0.28 * vg.Inch // of the picture; chosen
	margins   = 1.2 * vg.Inch  // chosen
	width     = 8 * vg.Inch    // chosen
)

// bars are the differences of one variant, one above the other.
type bars struct {
	plotter.XYs
	plotter.XErrors
}

// draw writes the differences of each variant on each day, with their intervals.
func draw(days []day, variants []string, file string) error {
	p := plot.New()
	p.Title.Text = "worth less that of " + variants[0] + ", mean and 95 % interval of the pairs"
	var b bars
	var names []string
	for _, v := range variants[1:] {
		for i := range days {
			d := differenceOf(pairsOf(&days[i], variants[0], v))
			if d.n < 2 {
				continue
			}
			b.XYs = append(b.XYs, plotter.XY{X: d.mean, Y: float64(len(names))})
			b.XErrors = append(b.XErrors, struct{ Low, High float64 }{d.half, d.half})
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
