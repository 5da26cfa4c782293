package lab

import (
	"bytes"
	"html/template"
	"math"

	svg "github.com/ajstarks/svgo"
)

// Size of a plot and of its margin, in pixels.
const (
	plotWidth  = 900
	plotHeight = 260
	plotMargin = 56
)

const (
	// plotHeadroom is the ratio of a plot's upper end to its highest value.
	plotHeadroom = 1.05
	gridLines    = 5
)

const (
	gridStyle   = "stroke:#d8dee6"
	yLabelStyle = "font:11px sans-serif;text-anchor:end;fill:#5a6675"
	xLabelStyle = "font:11px sans-serif;text-anchor:middle;fill:#5a6675"
	lineStyle   = "fill:none;stroke-width:1.6;stroke:"
)

// lineColours tell the lines of a plot apart.
var lineColours = []string{"#2563a8", "#c4571b", "#2f8a4c", "#8a3fa0", "#a08a1b", "#4c5a6b"}

func lineColour(index int) string { return lineColours[index%len(lineColours)] }

// Point is a point of a curve.
type Point struct{ X, Y float64 }

// Formatter formats a value for the label of an axis.
type Formatter func(value float64) string

// PlotCurves draws lines in one plot as SVG, with labels for the values on both axes, which begin at 0.
func PlotCurves(lines [][]Point, formatX, formatY Formatter) template.HTML {
	drawn := plot{formatX: formatX, formatY: formatY, lines: lines}
	for _, line := range lines {
		for _, point := range line {
			drawn.endX = max(drawn.endX, point.X)
			drawn.endY = max(drawn.endY, point.Y*plotHeadroom)
		}
	}
	return drawn.svg()
}

// plot is a diagram with one line for each configuration. Its y axis begins at 0.
type plot struct {
	lines   [][]Point
	startX  float64
	endX    float64
	endY    float64 // 0: above the highest value
	formatX Formatter
	formatY Formatter
}

// evenly spreads values over a length of the x axis.
func evenly(values []float64, length float64) []Point {
	var line []Point
	for i, value := range values {
		line = append(line, Point{length * float64(i+1) / float64(len(values)), value})
	}
	return line
}

// svg draws the plot, to be embedded in a page.
func (p plot) svg() template.HTML {
	if p.endY == 0 {
		p.endY = p.yAboveHighest()
	}
	if p.endX <= p.startX {
		p.endX = p.startX + 1
	}
	var buffer bytes.Buffer
	canvas := svg.New(&buffer)
	canvas.Startview(plotWidth, plotHeight, 0, 0, plotWidth, plotHeight)
	p.drawGrid(canvas)
	for index, line := range p.lines {
		p.drawLine(canvas, line, lineStyle+lineColour(index))
	}
	canvas.End()
	// What stands before the element is for files of their own.
	_, element, _ := bytes.Cut(buffer.Bytes(), []byte("<svg"))
	return template.HTML("<svg" + string(element))
}

func (p plot) yAboveHighest() float64 {
	highest := 0.0
	for _, line := range p.lines {
		for _, point := range line {
			highest = max(highest, point.Y)
		}
	}
	return max(1, math.Ceil(highest*plotHeadroom))
}

// pixel returns the position of a point on the canvas.
func (p plot) pixel(point Point) (x, y int) {
	x = plotMargin + int((point.X-p.startX)/(p.endX-p.startX)*(plotWidth-2*plotMargin))
	y = plotHeight - plotMargin/2 - int(point.Y/p.endY*(plotHeight-plotMargin))
	return x, y
}

func (p plot) drawGrid(canvas *svg.SVG) {
	for i := range gridLines {
		part := float64(i) / (gridLines - 1)
		value := Point{p.startX + part*(p.endX-p.startX), part * p.endY}
		x, y := p.pixel(value)
		canvas.Line(plotMargin, y, plotWidth-plotMargin, y, gridStyle)
		canvas.Text(plotMargin-6, y+4, p.formatY(value.Y), yLabelStyle)
		canvas.Text(x, plotHeight-6, p.formatX(value.X), xLabelStyle)
	}
}

func (p plot) drawLine(canvas *svg.SVG, line []Point, style string) {
	if len(line) == 0 {
		return
	}
	xs := make([]int, len(line))
	ys := make([]int, len(line))
	for i, point := range line {
		xs[i], ys[i] = p.pixel(point)
	}
	canvas.Polyline(xs, ys, style)
}
