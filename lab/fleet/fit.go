package fleet

import (
	"math"
	"slices"
	"time"
)

// Line is a least-squares fit y = At0 + Slope*x.
type Line struct{ Intercept, Slope float64 }

// At returns the value of the line at x.
func (l Line) At(x float64) float64 { return l.Intercept + l.Slope*x }

// FitLine fits a line; with fewer than two different x the slope is NaN.
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

// FitPlane fits y = a*u + b*v without a constant: a is the cost of a unit of u.
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

// perChange returns what one change adds per node to a rate measured at rest.
func perChange(quiet, changed, seconds float64, changes int) float64 {
	return (changed - quiet) * seconds / float64(changes)
}

func longest(d []time.Duration) time.Duration {
	if len(d) == 0 {
		return 0
	}
	return slices.Max(d)
}
