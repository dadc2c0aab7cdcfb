package events

// Kind is the type of an event.
type Kind string

// Kinds of event.
const (
	JobAccepted    Kind = "JobAccepted"
	JobPlaced      Kind = "JobPlaced"
	JobStarted     Kind = "JobStarted"
	JobStopped     Kind = "JobStopped"
	JobDone        Kind = "JobDone"
	JobRefused     Kind = "JobRefused"
	JobUnknown     Kind = "JobUnknown"
	JobCancelled   Kind = "JobCancelled"
	JobReclaimed   Kind = "JobReclaimed"
	KeyClaimed     Kind = "KeyClaimed"
	OwnerChanged   Kind = "OwnerChanged"
	OwnerLapsed    Kind = "OwnerLapsed"
	ConfigInForce  Kind = "ConfigInForce"
	ConfigAlarm    Kind = "ConfigAlarm"
	NoticeIssued   Kind = "NoticeIssued"
	NoticeAcked    Kind = "NoticeAcked"
	NoticeMissed   Kind = "NoticeMissed"
	StopAnnounced  Kind = "StopAnnounced"
	StopSafe       Kind = "StopSafe"
	PromiseBroken  Kind = "PromiseBroken"
	MemberUp       Kind = "MemberUp"
	MemberSuspect  Kind = "MemberSuspect"
	MemberDown     Kind = "MemberDown"
	MemberLeaving  Kind = "MemberLeaving"
	WorkerUp       Kind = "WorkerUp"
	WorkerDown     Kind = "WorkerDown"
	WorkerBlamed   Kind = "WorkerBlamed"
	WorkerRestored Kind = "WorkerRestored"
	LogDown        Kind = "LogDown"
	LogUp          Kind = "LogUp"
)

// Event is one entry of the timeline.
type Event struct {
	At           Stamp
	Host         string
	Kind         Kind
	Job          string
	Worker       string
	Organisation string
	Profile      string
	Text         string
}
