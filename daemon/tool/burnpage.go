package tool

import (
	_ "embed"
	"fmt"
	"html/template"
	"time"
)

// Sizes of a plot in SVG units.
const (
	plotWidth  = 600.0
	plotHeight = 80.0
	barGap     = 1.0
	// leastBar makes minutes visible in which requests came but none was bad.
	leastBar = 1.5
	// plotHead is the room above the alert line, as a multiple of the factor.
	plotHead = 1.3
)

//go:embed burn.html
var burnTemplate string

// burnPage escapes all text. The page has no script and loads nothing.
var burnPage = template.Must(template.New("burn").Funcs(template.FuncMap{"rate": rateText}).Parse(burnTemplate))

// page is the data of the HTML report.
type page struct {
	*burnDocument
	Made          string
	Width, Height float64
	Rows          []pageRow
}

type pageRow struct {
	burnSeries
	// Plot is nil if there is no objective.
	Plot *plot
}

// plot shows the burn rate of each minute of the long window.
type plot struct {
	Bars []bar
	// Line is the height of the alert factor, Top the burn rate at the upper edge.
	Line float64
	Top  string
}

type bar struct {
	X, Y, Width, Height float64
	Over                bool
	Title               string
}

func newPage(d *burnDocument) page {
	now := time.UnixMilli(d.TimeUnixMS)
	p := page{burnDocument: d, Made: now.UTC().Format(time.RFC3339), Width: plotWidth, Height: plotHeight}
	for _, s := range d.Series {
		p.Rows = append(p.Rows, pageRow{s, newPlot(s, now, d.LongWindow)})
	}
	return p
}

func newPlot(s burnSeries, now time.Time, window string) *plot {
	long, err := time.ParseDuration(window)
	if s.AlertFactor == nil || err != nil {
		return nil
	}
	top := *s.AlertFactor * plotHead
	for _, p := range s.history {
		top = max(top, p.Rate)
	}
	out := &plot{Line: plotHeight * (1 - *s.AlertFactor/top), Top: fmt.Sprintf("%.1f", top)}
	unit := plotWidth / (long.Minutes() + 1)
	first := now.Add(-long).Truncate(time.Minute)
	for _, p := range s.history {
		h := max(plotHeight*p.Rate/top, leastBar)
		out.Bars = append(out.Bars, bar{
			X: p.Begin.Sub(first).Minutes() * unit, Y: plotHeight - h, Width: unit - barGap, Height: h,
			Over:  p.Rate > *s.AlertFactor,
			Title: fmt.Sprintf("%s: burn rate %.2f", p.Begin.UTC().Format("15:04"), p.Rate),
		})
	}
	return out
}
