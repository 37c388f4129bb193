package labcli

import (
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/loomcleat/loomcleat/internal/emulator"
)

// Size of plots.
const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
)

// plotSeries draws the completed requests of each second, one line an arm.
func plotSeries(file string, results []emulator.Result) error {
	drawing := plot.New()
	drawing.Title.Text = results[0].Scenario
	drawing.X.Label.Text = "seconds"
	drawing.Y.Label.Text = "completed requests a second"
	lines := []any{}
	for _, result := range results {
		points := plotter.XYs{}
		for second, count := range result.Series {
			points = append(points, plotter.XY{X: float64(second), Y: count})
		}
		lines = append(lines, result.Arm, points)
	}
	if err := plotutil.AddLines(drawing, lines...); err != nil {
		return err
	}
	return drawing.Save(plotWidth, plotHeight, file)
}
