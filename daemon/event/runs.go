package event

// Numbers 601 to 699 are for events of jobs whose tasks run under leases: 601 to 649 at the agent (package
// runagent), 650 to 699 at the entry (package runentry).
const (
	LinkOpened         ID = 601
	LinkLost           ID = 602
	LinkListenFailed   ID = 603
	ServerStateChanged ID = 604
	ServerLeft         ID = 605
	ServerReachable    ID = 606
	ServerUnreachable  ID = 607
	OrderRefused       ID = 608
	StartRefused       ID = 609
	StartUnanswered    ID = 610
	StopUnanswered     ID = 611
	RunEnded           ID = 612
	RunsClaimed        ID = 613

	AnnouncementNotSaved  ID = 614
	AnnouncementNotLoaded ID = 615
	AnnouncementRestored  ID = 616

	EndedRunListed ID = 617
	OrderAccepted  ID = 618
	ClaimAnswered  ID = 619
	OwnerAnswered  ID = 620
	OwnerConflict  ID = 621
	RowsUnreadable ID = 622
	CancelRecorded ID = 623
	RunsListed     ID = 625

	JobEnded                 ID = 650
	JobAbandoned             ID = 651
	RoutesChanged            ID = 652
	DomainsChanged           ID = 653
	AgentsChanged            ID = 654
	PlatformStoreUnreachable ID = 655
	PlatformStoreReachable   ID = 656
	StoreRecordUnreadable    ID = 657
	ReadinessChanged         ID = 658
	ProcessPaused            ID = 659
	LinksUnencrypted         ID = 660
	SettingsReloaded         ID = 661
	SettingsUnreadable       ID = 662
	Registered               ID = 663
	RegistrationEnded        ID = 664
	LinesLeftOut             ID = 665
	TaskPlaced               ID = 666
	RunMoved                 ID = 667
	TaskReturned             ID = 668
	AgentLost                ID = 669
	ServerSuspended          ID = 670
	EntryLeft                ID = 671
	ProcessorShort           ID = 672
	EntrySecondCounts        ID = 673
	ServerCrashed            ID = 674
	KindConfined             ID = 675
	KindReleased             ID = 676
	JobAdmitted              ID = 677
	TaskGivenUp              ID = 678
	CancelAnswered           ID = 679
	FormerOwnerLost          ID = 680
	RecordsAwaited           ID = 681
	PlacesKeptNearData       ID = 684
	RunTimesUneven           ID = 685
	InterferenceFound        ID = 686
	InterferenceForgotten    ID = 687
)

var runTexts = map[ID]string{
	LinkOpened:               "link opened",
	LinkLost:                 "link ended",
	LinkListenFailed:         "links cannot be accepted",
	ServerStateChanged:       "backend server announced a new state",
	ServerLeft:               "backend server left",
	ServerReachable:          "backend server answers",
	ServerUnreachable:        "backend server does not answer",
	OrderRefused:             "order refused, not run",
	StartRefused:             "backend server refused a start, not run",
	StartUnanswered:          "backend server did not answer a start; it can begin until its expiry",
	StopUnanswered:           "backend server did not answer a stop; it is repeated",
	RunEnded:                 "run ended",
	RunsClaimed:              "entry claimed its runs after a new link",
	AnnouncementNotSaved:     "announcement of the backend server was not saved; saving is retried",
	AnnouncementNotLoaded:    "saved announcement of the backend server was not loaded; loading is retried for a short time",
	AnnouncementRestored:     "saved announcement of the backend server was loaded; it is used until the next one",
	EndedRunListed:           "backend server listed a run that was taken for ended; if it is in progress, it is stopped",
	JobEnded:                 "job ended",
	JobAbandoned:             "caller disconnected before its job ended",
	RoutesChanged:            "routes changed",
	DomainsChanged:           "failure domains out of service changed",
	AgentsChanged:            "known agents changed",
	PlatformStoreUnreachable: "the platform's store does not answer",
	PlatformStoreReachable:   "the platform's store answers again",
	StoreRecordUnreadable:    "a record of the platform's store cannot be read",
	ReadinessChanged:         "readiness changed",
	ProcessPaused:            "process did not run for some time",
	LinksUnencrypted:         "links between processes are not encrypted: TLS is not configured",
	SettingsReloaded:         "settings file was read again",
	SettingsUnreadable:       "settings file cannot be read; the previous settings stay in force",
	Registered:               "registered in the platform's store",
	RegistrationEnded:        "registration in the platform's store ended; it is renewed",
	LinesLeftOut:             "log lines were left out under load",
	TaskPlaced:               "task was assigned to an agent",
	RunMoved:                 "run is stopped because a new run elsewhere is expected to end sooner",
	TaskReturned:             "run ended without success; its task is queued again",
	AgentLost:                "agent is lost, its runs may go on",
	ServerSuspended:          "backend server was suspended because it failed too many tasks",
	EntryLeft:                "entry rejects further jobs because it stops",
	ProcessorShort:           "shortage of processor time at the entry began or ended",
	EntrySecondCounts:        "job counts of one second",
	ServerCrashed:            "backend server crashed while it had runs",
	KindConfined:             "kind of request is confined to some backend servers because it crashes them",
	KindReleased:             "confined kind of request may use all backend servers again",
	OrderAccepted:            "order accepted",
	ClaimAnswered:            "claim of a run answered",
	OwnerAnswered:            "request to own a job answered",
	OwnerConflict:            "two entries say that they own one job",
	RowsUnreadable:           "rows in the backend server's lists of runs cannot be read",
	JobAdmitted:              "job admitted",
	RunsListed:               "backend server has listed its runs since the agent's start",
	RecordsAwaited:           "jobs waited because records of owners may have been lost",
	InterferenceFound:        "runs of one kind are slower or faster beside runs of another",
	InterferenceForgotten:    "interference between two kinds is not seen any more",
	CancelRecorded:           "cancel of a job arrived from an entry",
	FormerOwnerLost:          "job was granted after the loss of its owner; it waits until no run of that owner can go on",
	CancelAnswered:           "cancel of a job answered",
	TaskGivenUp:              "task is given up because backend servers crashed under it",
	RunTimesUneven:           "run times of a service became uneven or even",
	PlacesKeptNearData:       "keeping places free near data in high demand began or ended",
}
