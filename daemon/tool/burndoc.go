package tool

import (
	"fmt"
	"math"
	"strings"
	"time"

	"poplargw.example/dispatch/burn"
)

// burnDocument is the JSON form of the report on burn rates.
type burnDocument struct {
	TimeUnixMS int64 `json:"time_unix_ms,string"`
	// ShortWindow and LongWindow are durations such as "5m".
	ShortWindow string  `json:"short_window"`
	LongWindow  string  `json:"long_window"`
	Factor      float64 `json:"factor"`
	// Alert is true if any series alerts.
	Alert bool `json:"alert"`
	// Complete is true if every entry answered and had counters for the whole long window.
	Complete bool         `json:"complete"`
	Entries  []burnEntry  `json:"entries"`
	Series   []burnSeries `json:"series"`
}

// burnEntry tells whether one entry contributed its counters, and why not if it did not.
type burnEntry struct {
	ID       string `json:"id"`
	Address  string `json:"address"`
	Answered bool   `json:"answered"`
	Error    string `json:"error"`
	// MissingBeforeUnixMS is the start time of an entry that started within the long window and so has no
	// earlier counters; 0 if it started before the window.
	MissingBeforeUnixMS int64 `json:"missing_before_unix_ms,string"`
}

// burnSeries holds the counts and burn rates of one service, kind and team. The pointers are nil if the
// kind has no objective.
type burnSeries struct {
	Service      string   `json:"service"`
	Kind         string   `json:"kind"`
	Team         string   `json:"team"`
	ResponseTime *string  `json:"response_time"`
	Target       *float64 `json:"target"`
	Good         uint64   `json:"good,string"`
	Total        uint64   `json:"total,string"`
	BudgetLeft   *float64 `json:"budget_left"`
	BurnShort    *float64 `json:"burn_short"`
	BurnLong     *float64 `json:"burn_long"`
	AlertFactor  *float64 `json:"alert_factor"`
	Alert        bool     `json:"alert"`
	// history is plotted on the HTML page and is not part of the JSON.
	history []burn.Point
}

func newBurnDocument(now time.Time, rule burn.Rule, answers []objectiveAnswer, reports []burn.Report) *burnDocument {
	d := &burnDocument{
		TimeUnixMS: now.UnixMilli(), ShortWindow: windowText(rule.Short), LongWindow: windowText(rule.Long), Factor: rule.Factor,
		Complete: true, Entries: []burnEntry{}, Series: []burnSeries{},
	}
	for _, a := range answers {
		e := burnEntry{ID: a.id, Address: a.address, Answered: a.err == "", Error: a.err}
		if started := a.counters.GetStartedUnixMs(); started > now.Add(-rule.Long).UnixMilli() {
			e.MissingBeforeUnixMS = started
		}
		d.Complete = d.Complete && e.Answered && e.MissingBeforeUnixMS == 0
		d.Entries = append(d.Entries, e)
	}
	for _, r := range reports {
		d.Alert = d.Alert || r.Alert
		d.Series = append(d.Series, newBurnSeries(r))
	}
	return d
}

func newBurnSeries(r burn.Report) burnSeries {
	s := burnSeries{Service: r.Service, Kind: r.Kind, Team: r.Team, Good: r.Good, Total: r.Total, Alert: r.Alert, history: r.History}
	if r.Objective != nil {
		s.ResponseTime, s.Target = new(r.Objective.ResponseTime.String()), new(r.Objective.Target)
		s.BudgetLeft, s.BurnShort, s.BurnLong, s.AlertFactor = rounded(r.BudgetLeft), rounded(r.ShortRate), rounded(r.LongRate), rounded(r.Factor)
	}
	return s
}

// Notes returns the alert rule and what the figures cover, one line each: every entry whose counters are
// missing or incomplete, or one line that all entries are complete.
func (d *burnDocument) Notes() []string {
	notes := []string{fmt.Sprintf("alert: burn rate above the factor %g, or above the rate at which half of the requests fail, over both %s and %s",
		d.Factor, d.ShortWindow, d.LongWindow)}
	for _, e := range d.Entries {
		switch {
		case !e.Answered:
			notes = append(notes, fmt.Sprintf("missing: entry %s at %s did not answer: %s", orUnknown(e.ID), orUnknown(e.Address), e.Error))
		case e.MissingBeforeUnixMS > 0:
			notes = append(notes, fmt.Sprintf("missing: counters of entry %s before its start at %s",
				e.ID, time.UnixMilli(e.MissingBeforeUnixMS).UTC().Format(time.RFC3339)))
		}
	}
	if d.Complete {
		notes = append(notes, fmt.Sprintf("complete: counters of all %d entries", len(d.Entries)))
	}
	return notes
}

// ObjectiveText describes the objective, for example "99% within 1.5s".
func (s burnSeries) ObjectiveText() string {
	if s.Target == nil {
		return "none"
	}
	return fmt.Sprintf("%.6g%% within %s", *s.Target*100, *s.ResponseTime)
}

// BudgetText returns the remaining error budget in percent, or "-" without an objective.
func (s burnSeries) BudgetText() string {
	if s.BudgetLeft == nil {
		return "-"
	}
	return fmt.Sprintf("%.1f%%", *s.BudgetLeft*100)
}

// StateText returns "alert", "ok" or, without an objective, "-".
func (s burnSeries) StateText() string {
	switch {
	case s.Target == nil:
		return "-"
	case s.Alert:
		return "alert"
	}
	return "ok"
}

// rateText formats a burn rate with two decimals, or as "-" if it is nil.
func rateText(rate *float64) string {
	if rate == nil {
		return "-"
	}
	return fmt.Sprintf("%.2f", *rate)
}

// rounded rounds to six decimals, which drops the digits that are only floating-point error.
func rounded(x float64) *float64 { return new(math.Round(x*1e6) / 1e6) }

// windowText formats a duration without trailing zero units, for example 5m or 1h.
func windowText(d time.Duration) string {
	text := d.String()
	if d%time.Minute == 0 {
		text = strings.TrimSuffix(text, "0s")
	}
	if d%time.Hour == 0 {
		text = strings.TrimSuffix(text, "0m")
	}
	return text
}

func orUnknown(s string) string {
	if s == "" {
		return "(unknown)"
	}
	return s
}
