package driftgossip

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/almonddrift/almonddrift/internal/driftgossip/driftgossippb"
)

// disagreementSpan is how long the digests of two VMs may differ before one asks
// for the members: changes are on their way for about as long.
const disagreementSpan = time.Second

// digestKey identifies the state that digests were computed for.
type digestKey struct {
	version        uint64
	ready, leaving bool
}

// digest returns the hash of the live members, including this VM, of one failure
// domain or of all if none is given. Domains that cannot be reached count too.
func (f *Fleet) digest(domain string) uint64 {
	key := digestKey{version: f.table.version, ready: f.ready, leaving: f.leaving}
	if f.digestKey != key || f.digests == nil {
		f.digests, f.digestKey = make(map[string]uint64), key
	}
	if digest, ok := f.digests[domain]; ok {
		return digest
	}
	digest := uint64(1)
	if domain == "" || domain == f.self.Domain {
		digest ^= memberHash(f.self.Name, f.self.Incarnation, f.ready, f.leaving)
	}
	for _, m := range f.table.members {
		if !m.Dead && (domain == "" || domain == m.Domain) {
			digest ^= memberHash(m.Name, m.Incarnation, m.Ready, m.Leaving)
		}
	}
	f.digests[domain] = digest
	return digest
}

func memberHash(name string, incarnation uint64, ready, leaving bool) uint64 {
	data := binary.LittleEndian.AppendUint64([]byte(name), incarnation<<2)
	if ready {
		data[len(name)] |= 1
	}
	if leaving {
		data[len(name)] |= 2
	}
	return xxhash.Sum64(data)
}

// disagrees reports whether this VM has held other members than the VMs of the
// sender's domain for disagreementSpan, so that it should ask for them.
func (f *Fleet) disagrees(message *driftgossippb.Datagram, now time.Time) bool {
	if message.GetDigest() == 0 || !f.table.domains.settled || f.table.fullMesh() {
		return false
	}
	domain := message.GetSender().GetDomain()
	scope := domain
	if domain == f.self.Domain {
		scope = ""
	}
	last, known := f.agreedAt[domain]
	if !known || f.digest(scope) == message.GetDigest() {
		f.agreedAt[domain] = now
		return false
	}
	if now.Sub(last) < disagreementSpan {
		return false
	}
	f.agreedAt[domain] = now
	return true
}
