// Package capacity measures what each role's work costs on this machine, as
// slopes, and works out from them what it costs at the size that the design is
// for.
package capacity

import "math"

// Point is one measurement: a cost at a size.
type Point struct {
	Size float64
	Cost float64
}

// Slope is a straight line through measurements.
type Slope struct {
	Per      float64 // cost of one unit of size
	Base     float64 // cost at size zero
	Low      float64 // least size measured
	High     float64 // greatest size measured
	Residual float64 // root mean square distance from the line, as a share of the greatest cost
}

// At returns the cost at a size, measured or not.
func (s Slope) At(size float64) float64 { return s.Base + s.Per*size }

// Fit returns the line of least squares through two points or more.
func Fit(points []Point) Slope {
	n := float64(len(points))
	var sx, sy, sxx, sxy, top float64
	s := Slope{Low: math.Inf(1), High: math.Inf(-1)}
	for _, p := range points {
		sx += p.Size
		sy += p.Cost
		sxx += p.Size * p.Size
		sxy += p.Size * p.Cost
		top = max(top, math.Abs(p.Cost))
		s.Low = min(s.Low, p.Size)
		s.High = max(s.High, p.Size)
	}
	s.Per = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	s.Base = (sy - s.Per*sx) / n
	var squares float64
	for _, p := range points {
		squares += math.Pow(p.Cost-s.At(p.Size), 2)
	}
	if top > 0 {
		s.Residual = math.Sqrt(squares/n) / top
	}
	return s
}
