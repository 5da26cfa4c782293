package lab

import (
	"bytes"
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"math"
	"time"

	svg "github.com/ajstarks/svgo"
)

//go:embed report.html
var page string

// colours tell configurations apart.
var colours = []string{"#2563a8", "#c4571b", "#2f8a4c", "#8a3fa0", "#a08a1b", "#4c5a6b"}

func colour(i int) string { return colours[i%len(colours)] }

// brief says a time in seconds as people do.
func brief(s float64) string {
	duration := time.Duration(s * float64(time.Second))
	switch {
	case s < 10:
		return fmt.Sprintf("%.2f s", s)
	case s < 120:
		return fmt.Sprintf("%.0f s", s)
	case s < 7200:
		return fmt.Sprintf("%.0f min", duration.Minutes())
	}
	return fmt.Sprintf("%.1f h", duration.Hours())
}

// loadPage is what the page shows of one load.
type loadPage struct {
	Name  string
	Waits template.HTML
	Rows  []loadRow
}

type loadRow struct {
	Config string
	LoadResult
}

// WriteHTML writes a page that needs nothing else to be seen.
func (r *Result) WriteHTML(out io.Writer) error {
	t, err := template.New("page").Funcs(template.FuncMap{
		"colour": colour, "seconds": brief,
		"percent": func(f float64) string { return fmt.Sprintf("%.1f %%", 100*f) },
	}).Parse(page)
	if err != nil {
		return err
	}
	p := plot{xs: r.DurationS, x: brief, y: func(v float64) string { return fmt.Sprintf("%.0f %%", 100*v) }, ys: 1}
	m := plot{xs: r.DurationS, x: brief, y: func(v float64) string { return fmt.Sprintf("%.0f", v) }}
	for _, c := range r.Configs {
		p.lines = append(p.lines, evenly(c.Used, r.DurationS))
		m.lines = append(m.lines, evenly(c.Machines, r.DurationS))
	}
	var loads []loadPage
	if len(r.Configs) > 0 {
		for i, l := range r.Configs[0].Loads {
			loads = append(loads, r.loadPage(i, l.Name))
		}
	}
	return t.Execute(out, map[string]any{"R": r, "Used": p.draw(), "Machines": m.draw(), "Loads": loads})
}

// loadPage shows the waits of one load in all configurations: by the logarithm of time.
func (r *Result) loadPage(i int, name string) loadPage {
	l := loadPage{Name: name}
	w := plot{x: func(v float64) string { return brief(math.Pow(10, v)) }, y: func(v float64) string { return fmt.Sprintf("%.0f %%", 100*v) }, ys: 1, x0: -2}
	for _, c := range r.Configs {
		l.Rows = append(l.Rows, loadRow{c.Name, c.Loads[i]})
		var line []point
		for q := 0.5; q <= 100; q += 0.5 {
			if c.waits[i].TotalCount() > 0 {
				x := math.Log10(max(0.01, float64(c.waits[i].ValueAtQuantile(q))/1000))
				w.xs = max(w.xs, x)
				line = append(line, point{x, q / 100})
			}
		}
		w.lines = append(w.lines, line)
	}
	l.Waits = w.draw()
	return l
}

type point struct{ x, y float64 }

// evenly spreads values over a time.
func evenly(vs []float64, over float64) (line []point) {
	for i, v := range vs {
		line = append(line, point{over * float64(i+1) / float64(len(vs)), v})
	}
	return line
}

// plot is a diagram with one line for each configuration; xs and ys are where its axes end, 0 for ys:
// at the highest value.
type plot struct {
	lines      [][]point
	x0, xs, ys float64
	x, y       func(float64) string
}

// Size of a plot, and of its margin.
const (
	plotW, plotH = 900, 260
	edge         = 56
)

// draw makes the plot as SVG.
func (p plot) draw() template.HTML {
	if p.ys == 0 {
		for _, l := range p.lines {
			for _, q := range l {
				p.ys = max(p.ys, q.y)
			}
		}
		p.ys = max(1, math.Ceil(p.ys*1.05))
	}
	if p.xs <= p.x0 {
		p.xs = p.x0 + 1
	}
	at := func(q point) (int, int) {
		return edge + int((q.x-p.x0)/(p.xs-p.x0)*(plotW-2*edge)), plotH - edge/2 - int(q.y/p.ys*(plotH-edge))
	}
	var b bytes.Buffer
	c := svg.New(&b)
	c.Startview(plotW, plotH, 0, 0, plotW, plotH)
	for i := range 5 {
		part := float64(i) / 4
		x, y := at(point{p.x0 + part*(p.xs-p.x0), part * p.ys})
		c.Line(edge, y, plotW-edge, y, "stroke:#d8dee6")
		c.Text(edge-6, y+4, p.y(part*p.ys), "font:11px sans-serif;text-anchor:end;fill:#5a6675")
		c.Text(x, plotH-6, p.x(p.x0+part*(p.xs-p.x0)), "font:11px sans-serif;text-anchor:middle;fill:#5a6675")
	}
	for i, l := range p.lines {
		var xs, ys []int
		for _, q := range l {
			x, y := at(q)
			xs, ys = append(xs, x), append(ys, y)
		}
		if len(xs) > 0 {
			c.Polyline(xs, ys, "fill:none;stroke-width:1.6;stroke:"+colour(i))
		}
	}
	c.End()
	// What it wrote first is for files of their own.
	_, body, _ := bytes.Cut(b.Bytes(), []byte("<svg"))
	return template.HTML("<svg" + string(body))
}

// Point is a point of a curve.
type Point struct{ X, Y float64 }

// Curves draws lines in one plot as SVG, with labels for the values on both axes; both begin at 0.
func Curves(lines [][]Point, x, y func(float64) string) template.HTML {
	p := plot{x: x, y: y}
	for _, l := range lines {
		var line []point
		for _, q := range l {
			p.xs, p.ys = max(p.xs, q.X), max(p.ys, q.Y*plotRoom)
			line = append(line, point{q.X, q.Y})
		}
		p.lines = append(p.lines, line)
	}
	return p.draw()
}

// plotRoom is by how much a plot is higher than its highest value.
const plotRoom = 1.05
