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

// series names a curve.
type series struct {
	Role, Against, Quantity string
}

// point is one measurement.
type point struct {
	X, Value float64
}

// table collects points of many curves. It is safe for concurrent use.
type table struct {
	mu     sync.Mutex
	points map[series][]point
}

func (t *table) add(role, against string, x float64, quantity string, value float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.points == nil {
		t.points = make(map[series][]point)
	}
	s := series{role, against, quantity}
	t.points[s] = append(t.points[s], point{x, value})
}

// sorted returns the names of the curves in a fixed order.
func (t *table) sorted() []series {
	var names []series
	for s := range t.points {
		names = append(names, s)
	}
	slices.SortFunc(names, func(a, b series) int {
		return cmp.Or(cmp.Compare(a.Role, b.Role), cmp.Compare(a.Against, b.Against), cmp.Compare(a.Quantity, b.Quantity))
	})
	for _, s := range names {
		slices.SortFunc(t.points[s], func(a, b point) int { return cmp.Compare(a.X, b.X) })
	}
	return names
}

func (t *table) print() {
	for _, s := range t.sorted() {
		for _, p := range t.points[s] {
			fmt.Printf("Slope Role=%s Against=%s X=%g Quantity=%s Value=%.4g\n", s.Role, s.Against, p.X, s.Quantity, p.Value)
		}
		if f, ok := fitOf(t.points[s]); ok {
			fmt.Printf("Fit Role=%s Against=%s Quantity=%s Form=%s Intercept=%.4g Slope=%.4g R2=%.3f\n",
				s.Role, s.Against, s.Quantity, f.form, f.intercept, f.slope, f.r2)
		}
	}
}

// fit is a straight line through the points, over X or over its logarithm.
type fit struct {
	form                 string
	intercept, slope, r2 float64
}

func fitOf(points []point) (fit, bool) {
	if len(points) < 3 {
		return fit{}, false
	}
	var xs, logs, ys []float64
	for _, p := range points {
		xs = append(xs, p.X)
		logs = append(logs, math.Log2(p.X))
		ys = append(ys, p.Value)
	}
	linear := lineThrough("Linear", xs, ys)
	if slices.Min(xs) <= 0 {
		return linear, true
	}
	if logarithmic := lineThrough("Log2", logs, ys); logarithmic.r2 > linear.r2 {
		return logarithmic, true
	}
	return linear, true
}

func lineThrough(form string, xs, ys []float64) fit {
	intercept, slope := stat.LinearRegression(xs, ys, nil, false)
	return fit{form: form, intercept: intercept, slope: slope, r2: stat.RSquared(xs, ys, nil, intercept, slope)}
}

// draw writes a picture for each curve into folder.
func (t *table) draw(folder string) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	for _, s := range t.sorted() {
		if len(t.points[s]) < 3 {
			continue
		}
		if err := drawCurve(folder, s, t.points[s]); err != nil {
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
