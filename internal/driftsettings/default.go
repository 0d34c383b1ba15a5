package driftsettings

import (
	"time"

	"github.com/almonddrift/almonddrift/internal/driftdocument"
)

// DefaultEntryListTTL is how long callers may cache the list of entry VMs,
// unless the settings say otherwise.
const DefaultEntryListTTL = driftdocument.Duration(10 * time.Second)

// DefaultMemory in MB and DefaultFiles are what a VM has, unless the settings say
// otherwise. Callers that keep to docs/CALLERS.md do not meet the bounds that follow.
const (
	DefaultMemory = 1024
	DefaultFiles  = 16384
)
