// Package jobs implements an entry's scheduler for jobs whose tasks run under leases. It admits jobs,
// orders those that wait, places tasks by free capacity and learned speed, and starts a task again only
// when its last run has certainly ended. It does no I/O, takes the time as a parameter, and is not safe
// for concurrent use.
package jobs

import (
	"time"

	"poplargw.example/dispatch/interference"
	"poplargw.example/dispatch/owner"
	"poplargw.example/dispatch/result"
	"poplargw.example/dispatch/route"
	"poplargw.example/dispatch/run"
)

// Step is a set of tasks with the same demand and estimate.
type Step struct {
	Count  int
	Demand run.Demand
	// Estimate is the declared run time of a task.
	Estimate time.Duration
	// After lists earlier steps whose tasks must all be done first.
	After []int
	// Label must be carried by the backend server; empty accepts any.
	Label string
	// Affinity is the label of backend servers near the data; on others the tasks take longer. Empty
	// means that tasks run equally well anywhere.
	Affinity string
	// MaxPerServer bounds the tasks of the step on one backend server; 0 means no bound.
	MaxPerServer int
}

// Job is a submission of one caller, who waits for its outcome.
type Job struct {
	ID    string
	Queue route.Queue
	// Caller is the network address of the caller, for logs only.
	Caller string
	// Spec is passed to the backend servers without interpretation.
	Spec    string
	Steps   []Step
	Arrived time.Time
	// Deadline is the time until which the caller waits; zero if unknown.
	Deadline time.Time
}

// Outcome describes how a job has ended. Code 0 means that it is completed.
type Outcome struct {
	Job    string
	Code   result.Code
	Effect result.Effect
	// Started is when the first task was ordered; zero if none was.
	Started time.Time
	// LatencyObjective is the job's latency objective; 0 if the job was not admitted.
	LatencyObjective time.Duration
	// RetryAfter is how long the caller of a rejected job should wait before it retries.
	RetryAfter time.Duration
	// Free and Capacity are the free and the total CPU capacity at the time of a rejection, in
	// millicores.
	Free, Capacity int64
}

// DecisionKind is the kind of a decision that is logged.
type DecisionKind int

// Kinds of decisions.
const (
	// Placed: a task was given to an agent.
	Placed DecisionKind = iota + 1
	// Moved: a run is being stopped because a fresh start elsewhere ends sooner.
	Moved
	// Returned: a run ended without success and its task waits again.
	Returned
	// Lost: an agent has been silent for Limits.LostAfter. Its runs wait for evidence of their ends.
	Lost
	// Suspended: a backend server gets no more tasks because too many have failed there.
	Suspended
	// Crashed: a backend server has crashed with runs that may have caused it.
	Crashed
	// Confined: a kind of request is confined to some backend servers because it crashes them.
	Confined
	// Released: a confined kind may use all backend servers again.
	Released
	// InterferenceFound: runs of a kind are found to be slowed down, or sped up, by runs of another kind beside them.
	InterferenceFound
	// InterferenceForgotten: such an interference is not seen any more.
	InterferenceForgotten
	// GivenUp: a task must not start again because backend servers crashed under it.
	GivenUp
	// FormerOwnerLost: the job was granted after the loss of its owner, whose runs may go on.
	FormerOwnerLost
	// KeptNearData: other tasks leave places free near some data, or, with a Count of 0, no longer do.
	KeptNearData
	// UnevenRunTimes: the run times of a service have a long tail, or, with a Count of 0, no longer have one.
	UnevenRunTimes
)

// Decision describes a decision and the facts that it was based on.
type Decision struct {
	Kind  DecisionKind
	Agent string
	Ref   run.Ref
	Job   string // of FormerOwnerLost
	// Silent is the number of agents that have not shown yet that no run of the former owner goes on.
	Silent int
	// Attempt numbers the runs of the task in this entry, from 1.
	Attempt int
	// End and Reason tell how a returned run ended.
	End    run.EventKind
	Reason result.Code
	// Expected is the expected run time, Remaining the time that the run would still take on the old server.
	Expected, Remaining time.Duration
	// Runs is the number of runs of a lost agent that may not have ended.
	Runs int
	// Age is the time since the last message from the agent.
	Age time.Duration
	// Free is the available CPU capacity of the backend server before the order, in millicores.
	Free int64
	// Suspects is the number of runs that may have caused a crash.
	Suspects int
	// Queue is the name of the queue of a kind that is confined or released.
	Queue string
	// Service is the service of an interference, of uneven run times or of kept places; Label names the data near which
	// places are kept.
	Service, Label string
	// Count is, by Kind: GivenUp: the number of crashes under the task; KeptNearData: the number of places kept on each
	// server; UnevenRunTimes: the number of long steps among the newest of Service.
	Count int
	// Share is, by Kind: GivenUp: the sum of the task's shares in the causes of the crashes; KeptNearData: the demand as
	// a part of the entry's share of the servers near the data.
	Share float64
	// Crashes describes the crashes under a task that is given up; see taskCrashes.counted.
	Crashes []CountedCrash
	// Pair describes an interference that is found or forgotten.
	Pair interference.Pair
}

// Order asks an agent to start a run.
type Order struct {
	Ref          run.Ref
	Demand       run.Demand
	Spec         string // as in Job
	Checkpoint   string // newest checkpoint of the task; empty if there is none
	Instance     string // process of the backend server that the order is meant for
	MaxPerServer int    // as in Step
	Label        string // as in Step
	Kind         string // kind of request: the name of the queue
}

// Claim asks an agent for the state of a run after a new link was opened.
type Claim struct {
	Ref    run.Ref
	Demand run.Demand
	// Age is the time since the run was ordered.
	Age time.Duration
}

// Batch is the content of one frame to an agent. Seq is the number of the frame.
type Batch struct {
	Agent  string
	Seq    uint64
	Orders []Order
	Stops  []run.Ref
	Claims []Claim
	// Requests, Releases and Owned concern the ownership of jobs; see package owner. Owned, in the first frame of a
	// link, is the complete list of jobs that the entry owns by the agent's record. In later frames it lists those of
	// Requests that the entry owns by the records of other agents; see owner.Table.Register.
	Requests []owner.Request
	Releases []string
	Owned    []string
	// Cancels lists jobs that a caller has cancelled at this entry; see Scheduler.RequestCancel.
	Cancels []string
}

// Report is the state of an agent's backend server. It accounts for the frames from this entry up to
// number Ack.
type Report struct {
	Server run.Server
	Free   run.Demand // free capacity that is not reserved for other entries
	Ack    uint64
	// Entries is the number of entries that share the backend server; 0 if unknown.
	Entries int
	// OthersSlowdown is the median of the slowdowns that other entries have measured there; 0 if there is none.
	OthersSlowdown float64
	// OthersConfined are the kinds of request that other entries confine because they crash backend servers.
	OthersConfined []string
	// ReportsCrashes is set if the agent reports crashes of its backend server.
	ReportsCrashes bool
	// RecordsOwners is set if the agent records the owners of jobs.
	RecordsOwners bool
	// Uptime is the time since the agent's process started; 0 if unknown.
	Uptime time.Duration
	// Incarnation identifies the agent's process; empty if unknown.
	Incarnation string
	// RunsListed is set if the backend server has listed its runs since the agent's start, and none of a former process or of a
	// silent entry is left.
	RunsListed bool
	// ListedAgents are those that have told other entries so.
	ListedAgents []ListedAgent
	// Usage is the present usage of the backend server by kind of request, by the runs of all entries; empty if unknown.
	Usage []run.KindUsage
}

// Limits configures the scheduler.
type Limits struct {
	// SilenceLimit is how long an agent with a link may be silent before Silent returns it, so that the
	// link is closed.
	SilenceLimit time.Duration
	// LostAfter is the time since the last message of an agent without a link after which its runs have
	// certainly ended, unless its VM was suspended meanwhile.
	LostAfter time.Duration
	// OwnerLostAfter is the time since the last message of an entry to a registrar after which all its runs have certainly
	// ended. Records that were lost together with their owner matter for as long. 0 means that no record is lost so.
	OwnerLostAfter time.Duration
	// FormerRunsEnd is the time since the end of an agent's process after which the runs that it kept have certainly ended,
	// unless the next process has adopted them.
	FormerRunsEnd time.Duration
	// MaxWaitingTasks bounds the number of waiting tasks.
	MaxWaitingTasks int
	// RemoteDataFactor is how many times longer a task runs away from its data; values below 1 count as
	// 1.
	RemoteDataFactor float64
	// ReserveForUrgent makes jobs leave capacity free for the bursts of more urgent queues of their service.
	ReserveForUrgent bool
	// RunOffset is added to the clock, in milliseconds, to number runs, so that the numbers given by
	// several entries increase together: a backend server refuses a run number below one that ended
	// there.
	RunOffset int64
}

// Stats counts what the scheduler holds. Unstarted is the number of jobs of which no task has started.
type Stats struct {
	Jobs, Unstarted, WaitingTasks, Runs, Servers int
	// FarRuns is the number of runs far from the data of their tasks, PlacesKept that of the places kept near data.
	FarRuns, PlacesKept int
	// ReservedPermille is the largest part of the capacity of a service, in thousandths, that less urgent queues leave free.
	ReservedPermille int
}
