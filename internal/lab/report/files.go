package report

import (
	"bytes"
	"encoding/json"
	"errors"
	"html/template"
	"image/color"
	"os"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Write writes the figures into a directory: figures.json, service.svg and index.html, which shows both.
func (f *Figures) Write(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	text, err := json.MarshalIndent(f, "", "  ")
	if err != nil {
		return err
	}
	picture, err := f.serviceChart()
	if err != nil {
		return err
	}
	var table, page bytes.Buffer
	if err := f.Text(&table); err != nil {
		return err
	}
	err = pageTemplate.Execute(&page, map[string]any{"Figures": f, "Text": table.String(), "Picture": template.HTML(picture)})
	return errors.Join(err, os.WriteFile(filepath.Join(dir, "figures.json"), append(text, '\n'), 0o644),
		os.WriteFile(filepath.Join(dir, "service.svg"), picture, 0o644), os.WriteFile(filepath.Join(dir, "index.html"), page.Bytes(), 0o644))
}

var pageTemplate = template.Must(template.New("page").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Figures.Title}}</title>
<style>body{font:15px/1.5 sans-serif;max-width:60em;margin:2em auto;padding:0 1em}pre{overflow-x:auto;background:#f6f6f6;padding:1em}
table{border-collapse:collapse}td,th{padding:.2em .8em;text-align:left;border-bottom:1px solid #ddd}svg{max-width:100%;height:auto}</style></head><body>
<h1>{{.Figures.Title}}</h1>
<p>Verdict: <strong>{{.Figures.Verdict.String}}</strong></p>
{{.Picture}}
<pre>{{.Text}}</pre>
{{with .Figures.Verdict.Violations}}<h2>Violations</h2>
<table><tr><th>rule</th><th>relay</th><th>message</th><th>description</th><th>lines of the history</th></tr>
{{range .}}<tr><td>{{.Rule}}</td><td>{{.Relay}}</td><td>{{.ID}}</td><td>{{.Text}}</td><td>{{.Lines}}</td></tr>{{end}}</table>{{end}}
</body></html>
`))

// serviceChart draws the service over time as SVG, with the faults as shaded bands.
func (f *Figures) serviceChart() ([]byte, error) {
	p := plot.New()
	p.Title.Text = "Share of the worth served, by time of arrival"
	p.X.Label.Text, p.Y.Label.Text = "seconds", "share"
	p.Y.Min, p.Y.Max = 0, 1.05
	for _, x := range f.Faults {
		until := max(x.Until, x.At+serviceStep.Seconds()/2)
		band, err := plotter.NewPolygon(plotter.XYs{{X: x.At, Y: 0}, {X: until, Y: 0}, {X: until, Y: 1.05}, {X: x.At, Y: 1.05}})
		if err != nil {
			return nil, err
		}
		band.Color, band.LineStyle.Width = color.NRGBA{R: 214, G: 96, B: 77, A: 50}, 0
		p.Add(band)
		label, err := plotter.NewLabels(plotter.XYLabels{XYs: plotter.XYs{{X: x.At, Y: 0.02}}, Labels: []string{x.Kind}})
		if err != nil {
			return nil, err
		}
		p.Add(label)
	}
	var line plotter.XYs
	for _, point := range f.Service {
		if point.Offered > 0 {
			line = append(line, plotter.XY{X: point.At, Y: point.Served / point.Offered})
		}
	}
	if len(line) > 0 {
		served, err := plotter.NewLine(line)
		if err != nil {
			return nil, err
		}
		served.Color, served.Width = color.NRGBA{R: 33, G: 102, B: 172, A: 255}, vg.Points(1.5)
		p.Add(plotter.NewGrid(), served)
	}
	canvas := vgsvg.New(24*vg.Centimeter, 10*vg.Centimeter)
	p.Draw(draw.New(canvas))
	var out bytes.Buffer
	_, err := canvas.WriteTo(&out)
	return out.Bytes(), err
}
