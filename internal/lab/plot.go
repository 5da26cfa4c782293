package lab

import (
	"bytes"
	"html/template"
	"math"

	svg "github.com/ajstarks/svgo"
)

// Size of a plot and width of its margin, in pixels.
const (
	plotWidth  = 900
	plotHeight = 260
	plotMargin = 56
)

const (
	// plotHeadroom is the ratio of a plot's upper end to its highest value.
	plotHeadroom = 1.05
	gridLines    = 5 // grid lines per axis
)

const (
	gridStyle   = "stroke:#d8dee6"
	yLabelStyle = "font:11px sans-serif;text-anchor:end;fill:#5a6675"
	xLabelStyle = "font:11px sans-serif;text-anchor:middle;fill:#5a6675"
	lineStyle   = "fill:none;stroke-width:1.6;stroke:"
)

// lineColours are the colours of a plot's lines, in order; a plot with more lines reuses the colours from the first.
var lineColours = []string{"#2563a8", "#c4571b", "#2f8a4c", "#8a3fa0", "#a08a1b", "#4c5a6b"}

func lineColour(index int) string { return lineColours[index%len(lineColours)] }

// Point is a point of a curve, in the units of the axes.
type Point struct{ X, Y float64 }

// Formatter formats a value as a label of an axis.
type Formatter func(value float64) string

// PlotCurves returns one plot of all lines as an SVG element. Both axes begin at 0, and the formatters label their values.
func PlotCurves(lines [][]Point, formatX, formatY Formatter) template.HTML {
	diagram := plot{formatX: formatX, formatY: formatY, lines: lines}
	for _, line := range lines {
		for _, point := range line {
			diagram.endX = max(diagram.endX, point.X)
			diagram.endY = max(diagram.endY, point.Y*plotHeadroom)
		}
	}
	return diagram.svg()
}

// plot is a line diagram. Its y axis begins at 0.
type plot struct {
	lines   [][]Point
	startX  float64
	endX    float64
	endY    float64 // upper end of the y axis; 0: computed by endYWithHeadroom
	formatX Formatter
	formatY Formatter
}

// spreadEvenly returns a line of the values at equal distances on the x axis; the last value is at x = length.
func spreadEvenly(values []float64, length float64) []Point {
	var line []Point
	for i, value := range values {
		line = append(line, Point{length * float64(i+1) / float64(len(values)), value})
	}
	return line
}

// svg draws the plot as an SVG element to be embedded in an HTML page.
func (p plot) svg() template.HTML {
	if p.endY == 0 {
		p.endY = p.endYWithHeadroom()
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
	// The XML declaration before the element belongs in a separate SVG file only.
	_, element, _ := bytes.Cut(buffer.Bytes(), []byte("<svg"))
	return template.HTML("<svg" + string(element))
}

// endYWithHeadroom returns the highest value of all lines plus the headroom, rounded up and at least 1.
func (p plot) endYWithHeadroom() float64 {
	highest := 0.0
	for _, line := range p.lines {
		for _, point := range line {
			highest = max(highest, point.Y)
		}
	}
	return max(1, math.Ceil(highest*plotHeadroom))
}

// pixel returns the position of a point on the canvas, in pixels from the top left corner.
func (p plot) pixel(point Point) (x, y int) {
	x = plotMargin + int((point.X-p.startX)/(p.endX-p.startX)*(plotWidth-2*plotMargin))
	y = plotHeight - plotMargin/2 - int(point.Y/p.endY*(plotHeight-plotMargin))
	return x, y
}

func (p plot) drawGrid(canvas *svg.SVG) {
	for i := range gridLines {
		fraction := float64(i) / (gridLines - 1)
		value := Point{p.startX + fraction*(p.endX-p.startX), fraction * p.endY}
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
