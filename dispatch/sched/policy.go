package sched

// Names of the policies, as settings give them.
const (
	PolicyCompletion       = "completion"
	PolicyRandom           = "random"
	PolicyRoundRobin       = "round-robin"
	PolicyLeastOutstanding = "least-outstanding"
	PolicyTwoChoices       = "power-of-two"
)

// Policies returns the names of all policies, the chosen one first.
func Policies() []string {
	return []string{PolicyCompletion, PolicyRandom, PolicyRoundRobin, PolicyLeastOutstanding, PolicyTwoChoices}
}

// NewPicker returns the picker of a policy; an unknown name means PolicyCompletion. The
// seed decides the choices of the random policies.
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
