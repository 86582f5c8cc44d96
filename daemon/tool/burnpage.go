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
	// minBarHeight keeps minutes visible that had requests but no bad ones.
	minBarHeight = 1.5
	// plotHeadroom is the least burn rate at the upper edge, as a multiple of the alert factor.
	plotHeadroom = 1.3
)

//go:embed burn.html
var burnHTML string

// burnPageTemplate escapes all text. The page has no script and loads nothing.
var burnPageTemplate = template.Must(template.New("burn").Funcs(template.FuncMap{"rate": rateText}).Parse(burnHTML))

// burnPageData is the template data of the HTML report.
type burnPageData struct {
	*burnDocument
	Made          string
	Width, Height float64
	Rows          []burnPageRow
}

// burnPageRow is one series of the report with its plot.
type burnPageRow struct {
	burnSeries
	// Plot is nil if the kind has no objective.
	Plot *plot
}

// plot shows the burn rate of each minute of the long window.
type plot struct {
	Bars []bar
	// Line is the y coordinate of the alert factor, Top the burn rate at the upper edge.
	Line float64
	Top  string
}

// bar is one minute of a plot. Over is true if the burn rate is above the alert factor.
type bar struct {
	X, Y, Width, Height float64
	Over                bool
	Title               string
}

func newBurnPageData(d *burnDocument) burnPageData {
	now := time.UnixMilli(d.TimeUnixMS)
	p := burnPageData{burnDocument: d, Made: now.UTC().Format(time.RFC3339), Width: plotWidth, Height: plotHeight}
	for _, s := range d.Series {
		p.Rows = append(p.Rows, burnPageRow{s, newPlot(s, now, d.LongWindow)})
	}
	return p
}

func newPlot(s burnSeries, now time.Time, window string) *plot {
	long, err := time.ParseDuration(window)
	if s.AlertFactor == nil || err != nil {
		return nil
	}
	top := *s.AlertFactor * plotHeadroom
	for _, p := range s.history {
		top = max(top, p.Rate)
	}
	out := &plot{Line: plotHeight * (1 - *s.AlertFactor/top), Top: fmt.Sprintf("%.1f", top)}
	unit := plotWidth / (long.Minutes() + 1)
	first := now.Add(-long).Truncate(time.Minute)
	for _, p := range s.history {
		h := max(plotHeight*p.Rate/top, minBarHeight)
		out.Bars = append(out.Bars, bar{
			X: p.Begin.Sub(first).Minutes() * unit, Y: plotHeight - h, Width: unit - barGap, Height: h,
			Over:  p.Rate > *s.AlertFactor,
			Title: fmt.Sprintf("%s: burn rate %.2f", p.Begin.UTC().Format("15:04"), p.Rate),
		})
	}
	return out
}
