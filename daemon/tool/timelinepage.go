package tool

import (
	"bytes"
	_ "embed"
	"fmt"
	"html/template"
	"image/color"
	"os"

	gonum "gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"poplargw.example/daemon/timeline"
)

// Size of each plot of the timeline.
const (
	timelineWidth  = 24 * vg.Centimeter
	timelineHeight = 6 * vg.Centimeter
)

//go:embed timeline.html
var timelineHTML string

// timelinePageTemplate escapes all text except the plots, which this package generates. The page has no script
// and loads nothing.
var timelinePageTemplate = template.Must(template.New("timeline").Parse(timelineHTML))

// curve is one line of a plot; value returns its height at one second.
type curve struct {
	name  string
	color color.Color
	value func(*timeline.Row) float64
}

var (
	colorOffered = color.RGBA{0x66, 0x66, 0x66, 0xff}
	colorServed  = color.RGBA{0x2a, 0x7f, 0x3f, 0xff}
	colorLate    = color.RGBA{0xd0, 0x8a, 0x10, 0xff}
	colorError   = color.RGBA{0xb0, 0x24, 0x24, 0xff}
)

var jobCurves = []curve{
	{"offered", colorOffered, func(s *timeline.Row) float64 { return float64(s.Offered) }},
	{"served", colorServed, func(s *timeline.Row) float64 { return float64(s.Served) }},
	{"late", colorLate, func(s *timeline.Row) float64 { return float64(s.Late) }},
	{"rejected or failed", colorError, func(s *timeline.Row) float64 { return float64(s.EndedTotal()) }},
}

var capacityCurves = []curve{
	{"free share of the processor capacity", colorServed, func(s *timeline.Row) float64 { return s.FreeShare }},
}

var systemCurves = []curve{
	{"backend servers", colorServed, func(s *timeline.Row) float64 { return float64(s.Servers) }},
	{"entries", colorOffered, func(s *timeline.Row) float64 { return float64(s.Entries) }},
	{"orders without an answer", colorError, func(s *timeline.Row) float64 { return float64(s.Unanswered) }},
}

// timelinePageData is the template data of the timeline page.
type timelinePageData struct {
	*timeline.Timeline
	Plots []template.HTML
}

func writeTimelinePage(name string, t *timeline.Timeline) error {
	data := timelinePageData{Timeline: t}
	for _, p := range []struct {
		title  string
		curves []curve
	}{{"Jobs per second", jobCurves}, {"Free processor capacity", capacityCurves}, {"Backend servers and entries", systemCurves}} {
		svg, err := drawPlot(p.title, p.curves, t)
		if err != nil {
			return fmt.Errorf("plot %q: %w", p.title, err)
		}
		data.Plots = append(data.Plots, svg)
	}
	var page bytes.Buffer
	if err := timelinePageTemplate.Execute(&page, data); err != nil {
		return fmt.Errorf("page: %w", err)
	}
	return os.WriteFile(name, page.Bytes(), 0o644)
}

// drawPlot returns an SVG image with the curves over the seconds since the first one.
func drawPlot(title string, curves []curve, t *timeline.Timeline) (template.HTML, error) {
	p := gonum.New()
	p.Title.Text = title
	p.X.Label.Text = "seconds"
	p.Y.Min = 0
	p.Legend.Top = true
	for _, c := range curves {
		points := make(plotter.XYs, len(t.Seconds))
		for i := range t.Seconds {
			s := &t.Seconds[i]
			points[i].X = s.At.Sub(t.Seconds[0].At).Seconds()
			points[i].Y = c.value(s)
		}
		if len(points) == 0 {
			continue
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return "", err
		}
		line.Color = c.color
		p.Add(line)
		p.Legend.Add(c.name, line)
	}
	canvas := vgsvg.New(timelineWidth, timelineHeight)
	p.Draw(draw.New(canvas))
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return "", err
	}
	// The XML declaration and the document type before the svg element are not valid inside an HTML page.
	svg := out.Bytes()
	if i := bytes.Index(svg, []byte("<svg")); i > 0 {
		svg = svg[i:]
	}
	return template.HTML(svg), nil
}
