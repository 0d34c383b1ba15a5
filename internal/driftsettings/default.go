package driftsettings

import (
	"time"

	"github.com/almonddrift/almonddrift/internal/driftdocument"
)

// DefaultLife is how long callers may keep the list of entry VMs when the
// settings do not say.
const DefaultLife = driftdocument.Duration(10 * time.Second)
