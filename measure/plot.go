package main

import (
	"os"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// drawAll draws a picture for each deployment and scenario into folder: the
// service that each router kept in each second.
func drawAll(folder string, plays []*play) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	for _, d := range deployments {
		for _, scenario := range scenarioNames {
			var lines []any
			for _, p := range plays {
				if p.deployment.name == d.name && p.scenario == scenario {
					lines = append(lines, p.router, p.shares)
				}
			}
			if len(lines) == 0 {
				continue
			}
			if err := drawLines(filepath.Join(folder, d.name+"-"+scenario+".png"), d.name+" "+scenario, "answered within 2 s", lines); err != nil {
				return err
			}
		}
	}
	return nil
}

func drawLines(file, title, axis string, lines []any) error {
	const width, height = 16 * vg.Centimeter, 9 * vg.Centimeter
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "second"
	p.Y.Label.Text = axis
	p.Y.Min, p.Y.Max = 0, 1
	p.Legend.Left = true
	if err := plotutil.AddLines(p, lines...); err != nil {
		return err
	}
	return p.Save(width, height, file)
}
