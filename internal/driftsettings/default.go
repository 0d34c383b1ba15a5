package driftsettings

import (
	"time"

	"github.com/almonddrift/almonddrift/internal/driftdocument"
)

// DefaultEntryListTTL is how long callers may cache the list of entry VMs,
// unless the settings say otherwise.
const DefaultEntryListTTL = driftdocument.Duration(10 * time.Second)
