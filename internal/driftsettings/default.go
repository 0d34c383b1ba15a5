package driftsettings

import (
	"time"

	"github.com/almonddrift/almonddrift/internal/driftdocument"
)

// DefaultEntryListTTL is how long callers may keep the list of entry VMs when the
// settings do not say.
const DefaultEntryListTTL = driftdocument.Duration(10 * time.Second)
