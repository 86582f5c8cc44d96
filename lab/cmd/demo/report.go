package main

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"
)

// tally counts the outcomes of the jobs of one kind or of all kinds.
type tally struct {
	jobs, complete, failed, refused, missing, wrong int

	// responses and ratioSum cover the complete jobs: their response times, and the sum of their
	// ratios to the ideal response time.
	responses []time.Duration
	ratioSum  float64
}

// add counts the outcome of a job. Speed is that of the fastest backend server.
func (t *tally) add(j job, o outcome, speed float64) {
	t.jobs++
	switch {
	case o.complete:
		t.complete++
		t.responses = append(t.responses, o.response)
		t.ratioSum += float64(o.response) / float64(j.ideal(speed))
		if o.wrong {
			t.wrong++
		}
	case o.failure == nil:
		t.missing++
	case o.refused():
		t.refused++
	default:
		t.failed++
	}
}

// accepted returns the number of jobs that were not refused.
func (t *tally) accepted() int { return t.jobs - t.refused }

// quantile returns the response time at the share q of all sorted response times; 0 if there is none.
// It sorts them in place.
func (t *tally) quantile(q float64) time.Duration {
	if len(t.responses) == 0 {
		return 0
	}
	slices.Sort(t.responses)
	return t.responses[min(len(t.responses)-1, int(q*float64(len(t.responses))))]
}

// meanRatio returns the mean ratio of response time to ideal response time of the complete jobs.
func (t *tally) meanRatio() float64 {
	if t.complete == 0 {
		return 0
	}
	return t.ratioSum / float64(t.complete)
}

// report prints the table, the number of jobs with each failure code and the summary line. It returns
// an error if an accepted job has no outcome or an answer belongs to another request.
func report(w io.Writer, jobs []job, outcomes []outcome, speed float64) error {
	kinds, all, codes := make(map[string]*tally), &tally{}, make(map[uint32]int)
	for i, j := range jobs {
		o := outcomes[i]
		if kinds[j.Kind] == nil {
			kinds[j.Kind] = &tally{}
		}
		kinds[j.Kind].add(j, o, speed)
		all.add(j, o, speed)
		if o.failure != nil {
			codes[o.failure.GetCode()]++
		}
	}
	printTable(w, kinds, all)
	for _, c := range slices.Sorted(maps.Keys(codes)) {
		fmt.Fprintf(w, "code %d: %d jobs\n", c, codes[c])
	}
	fmt.Fprintf(w, "demo: %d jobs accepted, %d complete, %d failed\n", all.accepted(), all.complete, all.failed)
	return checkOutcomes(all, outcomes)
}

// printTable prints a line for each kind and one for all.
func printTable(w io.Writer, kinds map[string]*tally, all *tally) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "kind\tjobs\taccepted\tcomplete\tfailed\trefused\tno outcome\tp50\tp99\tmean ratio to ideal\t")
	line := func(name string, r *tally) {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%v\t%v\t%.2f\t\n", name, r.jobs, r.accepted(), r.complete, r.failed, r.refused,
			r.missing, r.quantile(0.5).Round(time.Millisecond), r.quantile(0.99).Round(time.Millisecond), r.meanRatio())
	}
	for _, name := range slices.Sorted(maps.Keys(kinds)) {
		line(name, kinds[name])
	}
	line("all", all)
	_ = t.Flush()
}

// checkOutcomes returns the error of report, with the last client error of one job without an outcome.
func checkOutcomes(all *tally, outcomes []outcome) error {
	var errs []error
	if all.wrong > 0 {
		errs = append(errs, fmt.Errorf("%d answers belong to other requests", all.wrong))
	}
	if all.missing > 0 {
		errs = append(errs, fmt.Errorf("%d jobs have no outcome", all.missing))
	}
	for _, o := range outcomes {
		if !o.complete && o.failure == nil {
			errs = append(errs, o.lastErr)
			break
		}
	}
	return errors.Join(errs...)
}
