package main

import (
	"fmt"
	"os"
	"strings"
)

// resultTable holds the measured rows, one per size, and prints them with the slope of each column.
type resultTable struct {
	title   string
	columns []string
	sizes   []float64
	rows    [][]float64
}

func newResultTable(title string, columns ...string) *resultTable {
	return &resultTable{title: title, columns: columns}
}

// measureRows prints a table for each kind of transport, to which row adds the row of each size.
func measureRows(o options, title string, row func(o options, kind string, n int, t *resultTable) error, columns ...string) error {
	for _, kind := range o.kinds {
		t := newResultTable(title+", "+kind, columns...)
		for _, n := range o.sizes {
			if err := row(o, kind, n, t); err != nil {
				return err
			}
		}
		t.print()
	}
	return nil
}

// addRow appends the values measured at a size, in the order of the columns.
func (t *resultTable) addRow(size int, row ...float64) {
	t.sizes = append(t.sizes, float64(size))
	t.rows = append(t.rows, row)
}

// print writes the table in Markdown to standard output, with the load average of the machine at
// that time in the title. The last row holds the slopes if there are at least two sizes.
func (t *resultTable) print() {
	fmt.Printf("\n%s (load average %s)\n\n", t.title, loadAverage())
	fmt.Printf("| size | %s |\n|%s\n", strings.Join(t.columns, " | "), strings.Repeat(" ---: |", len(t.columns)+1))
	for i, r := range t.rows {
		printRow(fmt.Sprint(t.sizes[i]), r)
	}
	if len(t.rows) < 2 {
		return
	}
	slopes := make([]float64, len(t.columns))
	for c := range t.columns {
		slopes[c] = t.slope(c)
	}
	printRow("slope", slopes)
}

func printRow(label string, row []float64) {
	fmt.Printf("| %s |", label)
	for _, f := range row {
		fmt.Printf(" %.4g |", f)
	}
	fmt.Println()
}

// slope returns the least-squares slope of a column with respect to the size.
func (t *resultTable) slope(column int) float64 {
	var meanX, meanY, xy, xx float64
	n := float64(len(t.rows))
	for i, r := range t.rows {
		meanX += t.sizes[i] / n
		meanY += r[column] / n
	}
	for i, r := range t.rows {
		xy += (t.sizes[i] - meanX) * (r[column] - meanY)
		xx += (t.sizes[i] - meanX) * (t.sizes[i] - meanX)
	}
	return xy / xx
}

// loadAverage returns the load average of the last minute, "unknown" if it cannot be read.
func loadAverage() string {
	b, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	return strings.Join(strings.Fields(string(b))[:1], " ")
}
