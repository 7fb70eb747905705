package main

import (
	"fmt"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
	plotMaxY   = 1.2
)

// plotSweep writes a plot to a file: the earned share of the requested priority weight, and the operations
// per served request, by value of the bound.
func plotSweep(path, name, bound string, points []sweepPoint) error {
	p := plot.New()
	p.Title.Text = "Bound on merging, " + bound + ": " + name
	p.X.Label.Text = bound
	p.Y.Min, p.Y.Max = 0, plotMaxY
	p.Legend.Top = true
	var values []string
	earned, operations := make(plotter.XYs, len(points)), make(plotter.XYs, len(points))
	for i, point := range points {
		values = append(values, point.value)
		earned[i] = plotter.XY{X: float64(i), Y: point.summary.EarnedShare}
		operations[i] = plotter.XY{X: float64(i), Y: point.summary.OperationsPerServed()}
	}
	if err := plotutil.AddLinePoints(p, "earned share of the requested weight", earned,
		"operations per served request", operations); err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	p.NominalX(values...)
	if err := p.Save(plotWidth, plotHeight, path); err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	return nil
}
