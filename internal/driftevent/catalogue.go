package driftevent

// Code is the number of a kind of event. Numbers are never reused.
type Code int

// The events of the control plane (from 100), of the front (from 200), of the
// owner (from 300), and of violated invariants and internal errors (from 900).
const (
	VMStarted         Code = 100
	VMLeaving         Code = 101
	VMStopped         Code = 102
	VMHealthChanged   Code = 103
	VMPaused          Code = 104
	VMFenced          Code = 105
	VMUnfenced        Code = 106
	VMsChanged        Code = 107
	DomainsChanged    Code = 108
	VMDraining        Code = 109
	OwnerChanged      Code = 110
	ConfigInForce     Code = 120
	ConfigRefused     Code = 121
	ConfigStale       Code = 122
	ConfigUnavailable Code = 123
	ConfigRecovered   Code = 124
	AccountsChanged   Code = 125
	MarkChanged       Code = 130
	SettingsReloaded  Code = 140
	PlatformLost      Code = 141
	PlatformRecovered Code = 142
	EntryIgnored      Code = 143
	ChangesApplied    Code = 144
	PlatformReverted  Code = 145
	SettingsRefused   Code = 146
	QueryStarted      Code = 200
	QueryAnswered     Code = 201
	QueryRefused      Code = 202
	QueryRestarted    Code = 203
	AttemptStarted    Code = 210
	AttemptEnded      Code = 211
	AttemptHedged     Code = 212
	ReplyDropped      Code = 213
	RequestServed     Code = 220
	RequestFailed     Code = 221
	AccountLimited    Code = 230
	AccountWithin     Code = 231
	CallersCutOff     Code = 240
	UpstreamWarmed    Code = 300
	UpstreamCooled    Code = 301
	UpstreamLimit     Code = 302
	UpstreamLeaving   Code = 303
	RateLimitNamed    Code = 304
	RateLimitLifted   Code = 305
	UpstreamClosed    Code = 306
	UpstreamOpened    Code = 307
	SpeedReported     Code = 308
	DomainLeft        Code = 309
	ServiceShort      Code = 318
	ServiceNotShort   Code = 319
	ConnectionOpened  Code = 310
	ConnectionClosed  Code = 311
	ConnectionSilent  Code = 312
	DispatchRefused   Code = 320
	DispatchStarted   Code = 321
	DispatchEnded     Code = 322
	RequestRelayed    Code = 323
	HandoverSent      Code = 330
	HandoverReceived  Code = 331
	InvariantViolated Code = 900
	InternalError     Code = 901
)

// codeCount is one more than the highest code that is allowed.
const codeCount = 1000

type severity int

const (
	severityTrace severity = iota
	severityInfo
	severityWarning
	severityError
)

// catalogueEntry is the name and severity of one code.
type catalogueEntry struct {
	code     Code
	name     string
	severity severity
}

var catalogue = []catalogueEntry{
	{VMStarted, "vm started", severityInfo},
	{VMLeaving, "vm leaving", severityInfo},
	{VMStopped, "vm stopped", severityInfo},
	{VMHealthChanged, "vm health changed", severityInfo},
	{VMPaused, "vm paused", severityWarning},
	{VMFenced, "vm fenced", severityWarning},
	{VMUnfenced, "vm unfenced", severityInfo},
	{VMsChanged, "vms changed", severityInfo},
	{DomainsChanged, "domains changed", severityWarning},
	{VMDraining, "vm draining", severityInfo},
	{OwnerChanged, "owner changed", severityTrace},
	{ConfigInForce, "config in force", severityInfo},
	{ConfigRefused, "config refused", severityError},
	{ConfigStale, "config stale", severityWarning},
	{ConfigUnavailable, "config unavailable", severityWarning},
	{ConfigRecovered, "config recovered", severityInfo},
	{AccountsChanged, "accounts changed", severityInfo},
	{MarkChanged, "mark changed", severityInfo},
	{SettingsReloaded, "settings reloaded", severityInfo},
	{PlatformLost, "platform lost", severityWarning},
	{PlatformRecovered, "platform back", severityInfo},
	{EntryIgnored, "entry ignored", severityWarning},
	{ChangesApplied, "changes taken", severityInfo},
	{PlatformReverted, "platform reverted", severityWarning},
	{SettingsRefused, "settings refused", severityError},
	{QueryStarted, "query started", severityTrace},
	{QueryAnswered, "query answered", severityTrace},
	{QueryRefused, "query refused", severityTrace},
	{QueryRestarted, "query restarted", severityTrace},
	{AttemptStarted, "attempt started", severityTrace},
	{AttemptEnded, "attempt ended", severityTrace},
	{AttemptHedged, "attempt hedged", severityTrace},
	{ReplyDropped, "reply dropped", severityWarning},
	{RequestServed, "request served", severityInfo},
	{RequestFailed, "request failed", severityWarning},
	{AccountLimited, "account limited", severityWarning},
	{AccountWithin, "account within limit", severityInfo},
	{CallersCutOff, "callers cut off", severityWarning},
	{UpstreamWarmed, "upstream warmed", severityInfo},
	{UpstreamCooled, "upstream cooled", severityWarning},
	{UpstreamLimit, "upstream limit", severityTrace},
	{UpstreamLeaving, "upstream leaving", severityInfo},
	{RateLimitNamed, "rate limit named", severityWarning},
	{RateLimitLifted, "rate limit lifted", severityInfo},
	{UpstreamClosed, "upstream closed", severityWarning},
	{UpstreamOpened, "upstream opened", severityInfo},
	{SpeedReported, "speed reported", severityInfo},
	{DomainLeft, "domain left", severityTrace},
	{ServiceShort, "service short", severityWarning},
	{ServiceNotShort, "service not short", severityInfo},
	{ConnectionOpened, "connection opened", severityTrace},
	{ConnectionClosed, "connection closed", severityTrace},
	{ConnectionSilent, "connection silent", severityWarning},
	{DispatchRefused, "dispatch refused", severityTrace},
	{DispatchStarted, "dispatch started", severityTrace},
	{DispatchEnded, "dispatch ended", severityTrace},
	{RequestRelayed, "request relayed", severityTrace},
	{HandoverSent, "handover sent", severityTrace},
	{HandoverReceived, "handover received", severityTrace},
	{InvariantViolated, "promise violated", severityError},
	{InternalError, "internal error", severityError},
}

var entriesByCode = indexCatalogue()

func indexCatalogue() []catalogueEntry {
	index := make([]catalogueEntry, codeCount)
	for _, e := range catalogue {
		index[e.code] = e
	}
	return index
}

// Name returns the name of the code, as listed in docs/EVENTS.md.
func (c Code) Name() string {
	if c < 0 || int(c) >= len(entriesByCode) {
		return ""
	}
	return entriesByCode[c].name
}

func (c Code) severity() severity {
	if c < 0 || int(c) >= len(entriesByCode) {
		return severityError
	}
	return entriesByCode[c].severity
}

// Codes returns every code in the order of the catalogue.
func Codes() []Code {
	codes := make([]Code, 0, len(catalogue))
	for _, e := range catalogue {
		codes = append(codes, e.code)
	}
	return codes
}
