package capacity

import (
	"fmt"
	"math"
)

// Point is one measured value Y at the size X.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Fit is the least-squares line y = Intercept + Slope·x through the points of a measurement.
type Fit struct {
	Name      string  `json:"name"`
	X         string  `json:"x"` // name and unit of x
	Y         string  `json:"y"` // name and unit of y
	Points    []Point `json:"points"`
	Slope     float64 `json:"slope"`
	Intercept float64 `json:"intercept"`
	// Residual is the root-mean-square vertical distance of the points from the line, in units of y.
	Residual float64 `json:"residual"`
}

// minPoints is the smallest number of points whose residual shows whether a line fits.
const minPoints = 4

// NewFit fits a line to points by least squares. It fails for fewer than minPoints points, or if all have the same x.
func NewFit(name, x, y string, points []Point) (Fit, error) {
	f := Fit{Name: name, X: x, Y: y, Points: points}
	if len(points) < minPoints {
		return f, fmt.Errorf("fit %s: got %d points, want at least %d", name, len(points), minPoints)
	}
	n := float64(len(points))
	var mx, my float64
	for _, p := range points {
		mx += p.X / n
		my += p.Y / n
	}
	var sxx, sxy float64
	for _, p := range points {
		sxx += (p.X - mx) * (p.X - mx)
		sxy += (p.X - mx) * (p.Y - my)
	}
	if sxx == 0 {
		return f, fmt.Errorf("fit %s: all points have the same x", name)
	}
	f.Slope = sxy / sxx
	f.Intercept = my - f.Slope*mx
	var squares float64
	for _, p := range points {
		d := p.Y - f.ValueAt(p.X)
		squares += d * d
	}
	f.Residual = math.Sqrt(squares / n)
	return f, nil
}

// ValueAt returns the y value of the line at x.
func (f Fit) ValueAt(x float64) float64 { return f.Intercept + f.Slope*x }
