package experiments

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// plotPickers draws the p99 of each row name over the load.
func plotPickers(t *testing.T, r *Results) {
	answeredP99 := 4 // column
	var order []string
	lines := map[string]plotter.XYs{}
	for _, row := range r.Rows {
		name, _, _ := strings.Cut(row.Name, "@")
		if lines[name] == nil {
			order = append(order, name)
		}
		lines[name] = append(lines[name], plotter.XY{X: row.Values[0], Y: row.Values[answeredP99]})
	}
	var args []any
	for _, name := range order {
		args = append(args, name, lines[name])
	}
	draw(t, r.Experiment, "load in % of capacity", "first token p99 of answered requests in ms", args)
}

// draw writes lines with points as SVG if -plots is given; args are names and plotter.XYs in turn.
func draw(t *testing.T, name, x, y string, args []any) {
	if *plots == "" {
		return
	}
	require.NoError(t, os.MkdirAll(*plots, 0o755))
	p := plot.New()
	p.Title.Text = name
	p.X.Label.Text = x
	p.Y.Label.Text = y
	p.Y.Min = 0
	p.Legend.Top = true
	p.Legend.Left = true
	require.NoError(t, plotutil.AddLinePoints(p, args...))
	require.NoError(t, p.Save(plotWidth, plotHeight, filepath.Join(*plots, name+".svg")))
}
