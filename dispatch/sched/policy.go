package sched

// Names of the placement policies in the settings.
const (
	PolicyCompletion       = "completion"
	PolicyRandom           = "random"
	PolicyRoundRobin       = "round-robin"
	PolicyLeastOutstanding = "least-outstanding"
	PolicyTwoChoices       = "power-of-two"
)

// Policies returns the names of all policies, the default first.
func Policies() []string {
	return []string{PolicyCompletion, PolicyRandom, PolicyRoundRobin, PolicyLeastOutstanding, PolicyTwoChoices}
}

// NewPicker returns the picker of a policy. An unknown name selects PolicyCompletion. The
// seed determines the choices of the random policies.
func NewPicker(policy string, seed uint64) Picker {
	switch policy {
	case PolicyRandom:
		return NewRandom(seed)
	case PolicyRoundRobin:
		return &RoundRobin{}
	case PolicyLeastOutstanding:
		return LeastOutstanding{}
	case PolicyTwoChoices:
		return NewTwoChoices(seed)
	}
	return ExpectedCompletion{}
}
