package driftgossip

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/almonddrift/almonddrift/internal/driftgossip/driftgossippb"
	"github.com/almonddrift/almonddrift/internal/driftquota"
	"github.com/almonddrift/almonddrift/internal/driftshare"
)

// WithQuotas sets a function to call with what other VMs ask and grant of the limits
// of client accounts.
func WithQuotas(receive func(from string, m driftquota.Message)) Option {
	return func(f *Fleet) { f.onQuota = receive }
}

// SendQuota sends a message about accounts to a VM, if it is a known member.
func (f *Fleet) SendQuota(to string, m driftquota.Message) {
	f.mu.Lock()
	member, ok := f.table.members[to]
	if now := time.Now(); f.quotaSender == nil || now.Sub(f.quotaSenderAt) >= quotaSenderAge {
		f.quotaSender, f.quotaSenderAt = f.selfEntry(now), now
	}
	sender := f.quotaSender
	f.mu.Unlock()
	if ok {
		f.write(&driftgossippb.Datagram{Sender: sender, Quota: toQuotaAsk(m.Ask), Granted: toQuotaGrants(m.Grants)}, member.Address)
	}
}

// quotaSenderAge is how old the entry of this VM in messages about accounts may be. It
// takes longer to compute in a larger fleet, and these messages are frequent.
const quotaSenderAge = 100 * time.Millisecond

func toQuotaAsk(ask *driftquota.Ask) (message *driftgossippb.QuotaAsk) {
	if ask == nil {
		return nil
	}
	message = &driftgossippb.QuotaAsk{Run: ask.Run, At: ask.At}
	for _, i := range ask.Items {
		message.Items = append(message.Items, &driftgossippb.QuotaItem{
			Account: i.Account, Session: i.Session, Got: i.Got, Returned: i.Returned, Need: i.Need, Spare: i.Spare,
		})
	}
	return message
}

func toQuotaGrants(grants *driftquota.Grants) (message *driftgossippb.QuotaGrants) {
	if grants == nil {
		return nil
	}
	message = &driftgossippb.QuotaGrants{Run: grants.Run, At: grants.At}
	for _, i := range grants.Items {
		message.Items = append(message.Items, &driftgossippb.QuotaGrant{
			Account: i.Account, Session: i.Session, Total: i.Total, Wait: uint64(i.Wait.Microseconds()), New: i.New, Denied: i.Denied,
		})
	}
	return message
}

// handleQuotas passes on what a datagram asks and grants.
func (f *Fleet) handleQuotas(message *driftgossippb.Datagram) {
	if f.onQuota == nil || (message.GetQuota() == nil && message.GetGranted() == nil) {
		return
	}
	var m driftquota.Message
	if ask := message.GetQuota(); ask != nil {
		m.Ask = &driftquota.Ask{Run: ask.GetRun(), At: ask.GetAt()}
		for _, i := range ask.GetItems() {
			m.Ask.Items = append(m.Ask.Items, driftquota.AskItem{
				Account: i.GetAccount(), Session: i.GetSession(), Got: i.GetGot(), Returned: i.GetReturned(), Need: i.GetNeed(), Spare: i.GetSpare(),
			})
		}
	}
	if grants := message.GetGranted(); grants != nil {
		m.Grants = &driftquota.Grants{Run: grants.GetRun(), At: grants.GetAt()}
		for _, i := range grants.GetItems() {
			m.Grants.Items = append(m.Grants.Items, driftquota.GrantItem{
				Account: i.GetAccount(), Session: i.GetSession(), Total: i.GetTotal(),
				Wait: time.Duration(i.GetWait()) * time.Microsecond, New: i.GetNew(), Denied: i.GetDenied(),
			})
		}
	}
	f.onQuota(message.GetSender().GetName(), m)
}

const (
	// unheardAfter is the silence of all others after which a VM counts as alone, before
	// it has found each of them dead.
	unheardAfter = time.Second
	// establishedAfter is how much earlier than this VM another one must have started
	// for its number of known VMs to be trusted. All VMs of one side of a partition may
	// have started anew and know of no other side.
	establishedAfter = time.Minute
)

// QuotaView returns how the limits of client accounts are divided, as this VM sees
// the fleet. First is set at the first start of the whole fleet. A VM that has started
// later and has met none that ran before divides by driftshare.UnmetVMs at least,
// until it has run for a minute itself.
func (f *Fleet) QuotaView(first bool) driftquota.View {
	known := f.KnownVMs()
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	key := quotaViewKey{
		first: first, version: f.table.version, known: known, seen: len(f.table.lastAlive), leaving: f.leaving, seeds: len(f.seeds) > 0,
		unreached: strings.Join(f.table.domains.unreached, " "), alone: now.Sub(f.heardAt) >= unheardAfter,
		aged: !f.table.domains.startedAt.IsZero() && now.Sub(f.table.domains.startedAt) > establishedAfter,
	}
	if f.quotaViewKey == key && f.quotaView.Alive > 0 {
		return f.quotaView
	}
	f.quotaViewKey, f.quotaView = key, f.newQuotaView(key)
	return f.quotaView
}

// quotaViewKey is what a quota view depends on.
type quotaViewKey struct {
	first       bool
	version     uint64
	known, seen int
	// alone is set if nothing was heard for unheardAfter, aged if this VM has run for
	// establishedAfter.
	leaving, seeds, alone, aged bool
	unreached                   string
}

// newQuotaView returns a quota view. The caller holds the lock.
func (f *Fleet) newQuotaView(key quotaViewKey) driftquota.View {
	v := driftquota.View{
		Leaving: f.leaving, Alive: 1, Known: key.known,
		Self: driftshare.Owner{Name: f.self.Name, Weight: max(1, int(f.self.Capacity))},
	}
	established := key.first || key.aged
	for _, m := range f.table.alive() {
		established = established || m.Incarnation+uint64(establishedAfter.Milliseconds()) < f.self.Incarnation
		if key.alone {
			continue
		}
		v.Alive++
		if m.Leaving {
			v.Left = append(v.Left, m.Name)
		} else {
			v.Granters = append(v.Granters, m.Name)
		}
	}
	for name, seen := range f.table.lastAlive {
		v.Others = append(v.Others, driftshare.Owner{Name: name, Weight: max(1, int(seen.capacity))})
	}
	slices.SortFunc(v.Others, func(a, b driftshare.Owner) int { return cmp.Compare(a.Name, b.Name) })
	if !established && key.seeds {
		v.Known = driftshare.UnmetVMs(v.Known)
	}
	return v
}
