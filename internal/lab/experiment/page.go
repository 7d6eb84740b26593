package experiment

import (
	"fmt"
	"html/template"
	"os"
	"path/filepath"
	"time"

	"github.com/juju/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
)

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 11 * vg.Centimeter
	// labelRotation, in radians, keeps the labels of policies from overlapping.
	labelRotation = 0.5
	// curvePoints is the number of points in the curve of a distribution.
	curvePoints = 200
)

var pageTemplate = template.Must(template.New("page").Parse(`<!doctype html>
<meta charset="utf-8"><title>{{.Profile}}, seed {{.Seed}}</title>
<style>body{font-family:sans-serif;margin:2em}td,th{padding:.3em .8em;text-align:right}</style>
<h1>Routing policies, {{.Profile}}, seed {{.Seed}}</h1>
<table><tr><th>policy</th><th>hit rate</th><th>recomputed tokens</th><th>over oracle</th><th>first token p50 ms</th><th>p95</th><th>p99</th></tr>
{{range .Policies}}<tr><td>{{.Name}}</td><td>{{printf "%.3f" .HitRate}}</td><td>{{.RecomputedTokens}}</td><td>{{.RecomputedOverOracle}}</td><td>{{.FirstTokenP50}}</td><td>{{.FirstTokenP95}}</td><td>{{.FirstTokenP99}}</td></tr>
{{end}}</table>
<p><img src="recomputed.png" alt="recomputed tokens by policy"></p>
<p><img src="first-token.png" alt="distribution of the time to first token"></p>
`))

// WritePage writes the report as an HTML page with plots into a directory.
func WritePage(directory string, report Report) error {
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return errors.Annotate(err, "cannot create the report directory; choose a writable path")
	}
	if err := drawRecomputed(filepath.Join(directory, "recomputed.png"), report); err != nil {
		return err
	}
	if err := drawFirstToken(filepath.Join(directory, "first-token.png"), report); err != nil {
		return err
	}
	file, err := os.Create(filepath.Join(directory, "index.html"))
	if err != nil {
		return errors.Trace(err)
	}
	defer file.Close()
	return errors.Trace(pageTemplate.Execute(file, report))
}

func drawRecomputed(path string, report Report) error {
	drawing := plot.New()
	drawing.Title.Text = fmt.Sprintf("Recomputed prompt tokens, %s, seed %d", report.Profile, report.Seed)
	drawing.Y.Label.Text = "million tokens"
	values := plotter.Values{}
	names := []string{}
	for _, policy := range report.Policies {
		values = append(values, float64(policy.RecomputedTokens)/1e6)
		names = append(names, policy.Name)
	}
	bars, err := plotter.NewBarChart(values, vg.Centimeter)
	if err != nil {
		return errors.Trace(err)
	}
	drawing.Add(bars)
	drawing.NominalX(names...)
	drawing.X.Tick.Label.Rotation = labelRotation
	drawing.X.Tick.Label.XAlign = draw.XRight
	drawing.Y.Min = 0
	return errors.Trace(drawing.Save(plotWidth, plotHeight, path))
}

func drawFirstToken(path string, report Report) error {
	drawing := plot.New()
	drawing.Title.Text = fmt.Sprintf("Time to first token, %s, seed %d", report.Profile, report.Seed)
	drawing.X.Label.Text = "milliseconds"
	drawing.X.Scale = plot.LogScale{}
	drawing.X.Tick.Marker = plot.LogTicks{Prec: -1}
	drawing.Y.Label.Text = "share of requests"
	lines := []any{}
	for _, policy := range report.Policies {
		curve := plotter.XYs{}
		for point := 1; point < curvePoints; point++ {
			fraction := float64(point) / curvePoints
			value := policy.FirstTokenTimes[int(fraction*float64(len(policy.FirstTokenTimes)))]
			curve = append(curve, plotter.XY{X: float64(value) / float64(time.Millisecond), Y: fraction})
		}
		lines = append(lines, policy.Name, curve)
	}
	if err := plotutil.AddLines(drawing, lines...); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(drawing.Save(plotWidth, plotHeight, path))
}
