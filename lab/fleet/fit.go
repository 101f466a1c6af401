package fleet

import (
	"math"
	"slices"
	"time"
)

// Line is the line y = Intercept + Slope*x.
type Line struct{ Intercept, Slope float64 }

// At returns the value of the line at x.
func (l Line) At(x float64) float64 { return l.Intercept + l.Slope*x }

// FitLine fits a line by least squares. With fewer than two different x, intercept
// and slope are NaN.
func FitLine(x, y []float64) Line {
	n := float64(len(x))
	var sx, sy, sxx, sxy float64
	for i := range x {
		sx, sy = sx+x[i], sy+y[i]
		sxx, sxy = sxx+x[i]*x[i], sxy+x[i]*y[i]
	}
	d := n*sxx - sx*sx
	if d == 0 {
		return Line{math.NaN(), math.NaN()}
	}
	slope := (n*sxy - sx*sy) / d
	return Line{(sy - slope*sx) / n, slope}
}

// FitPlane fits y = a*u + b*v by least squares, without a constant term: a is the
// cost of a unit of u, b that of a unit of v. Both are NaN if u and v are linearly
// dependent.
func FitPlane(u, v, y []float64) (a, b float64) {
	var uu, uv, vv, uy, vy float64
	for i := range u {
		uu, uv, vv = uu+u[i]*u[i], uv+u[i]*v[i], vv+v[i]*v[i]
		uy, vy = uy+u[i]*y[i], vy+v[i]*y[i]
	}
	d := uu*vv - uv*uv
	if d == 0 {
		return math.NaN(), math.NaN()
	}
	return (uy*vv - vy*uv) / d, (vy*uu - uy*uv) / d
}

// perChange returns the amount that one change adds to a rate. quiet is the rate
// without changes, changed the rate during a period of the given length with the
// given number of changes.
func perChange(quiet, changed, seconds float64, changes int) float64 {
	return (changed - quiet) * seconds / float64(changes)
}

// longest returns the maximum; 0 for none.
func longest(d []time.Duration) time.Duration {
	if len(d) == 0 {
		return 0
	}
	return slices.Max(d)
}
