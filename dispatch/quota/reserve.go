package quota

import "math"

// Load is the load that one queue puts on the backend servers that it shares with others. All amounts are capacity, in
// one unit.
type Load struct {
	// Offered is the mean capacity that the arriving work needs.
	Offered float64
	// JobSize is the mean capacity that one job takes when all its tasks run.
	JobSize float64
	// Used is the capacity that the queue's running tasks take.
	Used float64
}

// Shortfall returns the capacity by which an ordinary burst of the queue exceeds what it uses now. An ordinary burst is one
// standard deviation above the mean: if jobs arrive independently of each other, the capacity in use has the variance
// Offered times JobSize.
func (l Load) Shortfall() float64 {
	return max(0, l.Offered+math.Sqrt(max(0, l.Offered*l.JobSize))-l.Used)
}

// Scaled returns the load of n entries that all have the load l. Submissions spread evenly over the entries, as for Team.Share.
func (l Load) Scaled(n int) Load {
	return Load{Offered: l.Offered * float64(n), JobSize: l.JobSize, Used: l.Used * float64(n)}
}

// ReservedFraction returns the part of the total capacity that less urgent queues leave free, so that queues with the given
// loads can start at once. It is 0 if total is not positive.
func ReservedFraction(total float64, loads []Load) float64 {
	if total <= 0 {
		return 0
	}
	sum := 0.0
	for _, l := range loads {
		sum += l.Shortfall()
	}
	return min(1, sum/total)
}
