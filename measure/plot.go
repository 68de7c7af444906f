package main

import (
	"os"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// plotTrials plots, for each deployment and scenario, the time series of the share of
// requests that were answered in time with each router. The plots are written to folder.
func plotTrials(folder string, trials []*trial) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	for _, d := range deployments {
		for _, scenario := range clusterScenarioNames {
			var lines []any
			for _, tr := range trials {
				if tr.deployment.name == d.name && tr.scenario == scenario {
					lines = append(lines, tr.router, tr.answeredShares)
				}
			}
			if len(lines) == 0 {
				continue
			}
			if err := plotLines(filepath.Join(folder, d.name+"-"+scenario+".png"), d.name+" "+scenario, "share answered within 2 s", lines); err != nil {
				return err
			}
		}
	}
	return nil
}

// plotLines writes a line chart of values between 0 and 1 over seconds. lines holds
// names and points alternately.
func plotLines(path, title, yLabel string, lines []any) error {
	const width, height = 16 * vg.Centimeter, 9 * vg.Centimeter
	figure := plot.New()
	figure.Title.Text = title
	figure.X.Label.Text = "second"
	figure.Y.Label.Text = yLabel
	figure.Y.Min, figure.Y.Max = 0, 1
	figure.Legend.Left = true
	if err := plotutil.AddLines(figure, lines...); err != nil {
		return err
	}
	return figure.Save(width, height, path)
}
