// Package driftsettings reads the settings of one VM from a JSON file. It
// refuses unknown fields and values that are not allowed.
//
// # Usage
//
//	settings, err := driftsettings.Load("vm-1.json", driftsettings.Settings{})
//	if err != nil {
//		return err // names the field, its value and what is allowed
//	}
package driftsettings

import (
	"cmp"
	"os"

	"github.com/juju/errors"

	"github.com/almonddrift/almonddrift/internal/driftdocument"
)

// Settings configure one VM. It receives everything else from the platform and
// from other VMs. Addresses consist of an IP address and a port.
type Settings struct {
	// Name is the VM's name, unique in the fleet.
	Name string `json:"name" validate:"required,max=64,printascii"`
	// Domain is the VM's failure domain.
	Domain string `json:"domain" validate:"required,max=64"`
	// Callers, Peers and Ops are the addresses on which the VM listens for
	// callers, for other VMs and for operators.
	Callers string `json:"callers" validate:"required,ipport"`
	Peers   string `json:"peers" validate:"required,ipport"`
	Ops     string `json:"ops" validate:"required,ipport"`
	// Platform is the address of the platform's services.
	Platform string `json:"platform" validate:"required,ipport"`
	// Log is the lowest severity that is logged.
	Log string `json:"log" validate:"omitempty,oneof=debug info warning error"`
	// EntryListTTL is how long callers may cache the list of entry VMs.
	EntryListTTL driftdocument.Duration `json:"life" validate:"omitempty,min=1s,max=10m"`
	// Memory is that of the VM in MB, and Files the number of sockets that the process
	// may have. Shares of them bound what is read of requests that are not answered yet.
	Memory int64 `json:"memory" validate:"omitempty,min=256,max=1048576"`
	Files  int   `json:"files" validate:"omitempty,min=64,max=10000000"`
}

// Parse reads settings from JSON. The error satisfies
// errors.Is(err, errors.NotValid).
func Parse(body []byte) (s Settings, err error) {
	defer errors.DeferredAnnotatef(&err, "settings")
	if err := driftdocument.DecodeStrict(body, &s); err != nil {
		return Settings{}, err
	}
	if err := driftdocument.Validate(s); err != nil {
		return Settings{}, err
	}
	return s.withDefaults(), nil
}

// Load reads settings from a file. The non-empty fields of override take
// precedence over those of the file. Without a path, only override is used.
func Load(path string, override Settings) (s Settings, err error) {
	defer errors.DeferredAnnotatef(&err, "settings %q", path)
	if path != "" {
		body, err := os.ReadFile(path)
		if err != nil {
			return Settings{}, err
		}
		if err := driftdocument.DecodeStrict(body, &s); err != nil {
			return Settings{}, err
		}
	}
	s = s.overridden(override)
	if err := driftdocument.Validate(s); err != nil {
		return Settings{}, err
	}
	return s.withDefaults(), nil
}

func (s Settings) overridden(o Settings) Settings {
	s.Name = cmp.Or(o.Name, s.Name)
	s.Domain = cmp.Or(o.Domain, s.Domain)
	s.Callers = cmp.Or(o.Callers, s.Callers)
	s.Peers = cmp.Or(o.Peers, s.Peers)
	s.Ops = cmp.Or(o.Ops, s.Ops)
	s.Platform = cmp.Or(o.Platform, s.Platform)
	s.Log = cmp.Or(o.Log, s.Log)
	s.EntryListTTL = cmp.Or(o.EntryListTTL, s.EntryListTTL)
	s.Memory = cmp.Or(o.Memory, s.Memory)
	s.Files = cmp.Or(o.Files, s.Files)
	return s
}

func (s Settings) withDefaults() Settings {
	if s.Log == "" {
		s.Log = "info"
	}
	if s.EntryListTTL == 0 {
		s.EntryListTTL = DefaultEntryListTTL
	}
	s.Memory = cmp.Or(s.Memory, DefaultMemory)
	s.Files = cmp.Or(s.Files, DefaultFiles)
	return s
}
