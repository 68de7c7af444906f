package main

import (
	"cmp"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"slices"
	"sync"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// series identifies a curve: a quantity of a role, measured against another quantity.
type series struct {
	Role, Against, Quantity string
}

// point is a data point of a curve.
type point struct {
	X, Value float64
}

// curveSet collects the data points of many curves. Points may be added concurrently.
// It must not be printed or drawn at the same time.
type curveSet struct {
	mu     sync.Mutex
	points map[series][]point
}

func (c *curveSet) add(role, against string, x float64, quantity string, value float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.points == nil {
		c.points = make(map[series][]point)
	}
	s := series{role, against, quantity}
	c.points[s] = append(c.points[s], point{x, value})
}

// sortedSeries returns the series in a fixed order and sorts the points of each by X.
func (c *curveSet) sortedSeries() []series {
	var list []series
	for s := range c.points {
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b series) int {
		return cmp.Or(cmp.Compare(a.Role, b.Role), cmp.Compare(a.Against, b.Against), cmp.Compare(a.Quantity, b.Quantity))
	})
	for _, s := range list {
		slices.SortFunc(c.points[s], func(a, b point) int { return cmp.Compare(a.X, b.X) })
	}
	return list
}

func (c *curveSet) print() {
	for _, s := range c.sortedSeries() {
		for _, p := range c.points[s] {
			fmt.Printf("Slope Role=%s Against=%s X=%g Quantity=%s Value=%.4g\n", s.Role, s.Against, p.X, s.Quantity, p.Value)
		}
		if f, ok := bestFit(c.points[s]); ok {
			fmt.Printf("Fit Role=%s Against=%s Quantity=%s Form=%s Intercept=%.4g Slope=%.4g R2=%.3f\n",
				s.Role, s.Against, s.Quantity, f.form, f.intercept, f.slope, f.r2)
		}
	}
}

// fit is a straight line that is fitted to the points, over X or over its binary
// logarithm.
type fit struct {
	form                 string
	intercept, slope, r2 float64
}

// bestFit returns the linear or the logarithmic fit, whichever has the larger R². Only
// the linear one is possible if an X isn't positive. bestFit returns false if there are
// fewer than three points.
func bestFit(points []point) (fit, bool) {
	if len(points) < 3 {
		return fit{}, false
	}
	var xs, logs, ys []float64
	for _, p := range points {
		xs = append(xs, p.X)
		logs = append(logs, math.Log2(p.X))
		ys = append(ys, p.Value)
	}
	linear := linearFit("Linear", xs, ys)
	if slices.Min(xs) <= 0 {
		return linear, true
	}
	if logarithmic := linearFit("Log2", logs, ys); logarithmic.r2 > linear.r2 {
		return logarithmic, true
	}
	return linear, true
}

func linearFit(form string, xs, ys []float64) fit {
	intercept, slope := stat.LinearRegression(xs, ys, nil, false)
	return fit{form: form, intercept: intercept, slope: slope, r2: stat.RSquared(xs, ys, nil, intercept, slope)}
}

// draw writes a PNG file for each curve with at least three points into folder.
func (c *curveSet) draw(folder string) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	for _, s := range c.sortedSeries() {
		if len(c.points[s]) < 3 {
			continue
		}
		if err := drawCurve(folder, s, c.points[s]); err != nil {
			return err
		}
	}
	return nil
}

func drawCurve(folder string, s series, points []point) error {
	const width, height = 14 * vg.Centimeter, 9 * vg.Centimeter
	p := plot.New()
	p.Title.Text = s.Role + " " + s.Quantity
	p.X.Label.Text = s.Against
	p.Y.Label.Text = s.Quantity
	p.Y.Min = 0
	values := make(plotter.XYs, len(points))
	for i, v := range points {
		values[i].X, values[i].Y = v.X, v.Value
	}
	if values[0].X > 0 && values[len(values)-1].X/values[0].X > 50 {
		p.X.Scale = plot.LogScale{}
		p.X.Tick.Marker = plot.LogTicks{Prec: -1}
	}
	if err := plotutil.AddLinePoints(p, values); err != nil {
		return err
	}
	return p.Save(width, height, filepath.Join(folder, s.Role+"-"+s.Against+"-"+s.Quantity+".png"))
}
