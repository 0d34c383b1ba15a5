package driftgossip

import (
	"slices"
	"time"

	"github.com/almonddrift/almonddrift/internal/driftgossip/driftgossippb"
)

// RoomClaim is the demand of one class and client account at one VM for slots of one
// service.
type RoomClaim struct {
	Service, Class, Account string
	// Priority is 0 for the most urgent requests.
	Priority int
	// Demand is how many requests are in flight or wait on average, and Running how many
	// of them are in flight.
	Demand, Running float64
}

const (
	// maxRoomTargets bounds the VMs that a round tells of demands. In a larger fleet they
	// are chosen at random.
	maxRoomTargets = 16
	// roomPeriod is the time between two rounds while demands are announced.
	roomPeriod = 250 * time.Millisecond
	// roomRounds is the number of rounds within which demands must be known.
	roomRounds = 3
	// maxDatagramClaims bounds the claims of one datagram, and maxRoomDatagrams the
	// datagrams of claims of a round to one VM.
	maxDatagramClaims = 20
	maxRoomDatagrams  = 4
)

// MaxRoomClaims is how many claims a VM may announce.
const MaxRoomClaims = maxDatagramClaims * maxRoomDatagrams

// MaxServiceClaims is how many of them may be for one service.
const MaxServiceClaims = maxDatagramClaims

// WithRoomHandler sets a function to call when another VM announces its demand for slots
// of one service. Reach is the share of the VMs with load that it tells in time.
func WithRoomHandler(handler func(vm, domain string, claims []RoomClaim, reach float64)) Option {
	return func(f *Fleet) { f.onRoom = handler }
}

// AnnounceRoom sets the claims that the next rounds tell the VMs that carry load or have
// announced claims themselves, none
// while no service is short of slots. Claims of one service are adjacent. Services
// beyond MaxRoomClaims are left out.
func (f *Fleet) AnnounceRoom(claims []RoomClaim) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.roomClaims = claims
}

// roomDatagrams returns the datagrams that announce this VM's claims and the VMs that
// they go to. All claims of one service are in the same datagram. The caller holds the
// lock.
func (f *Fleet) roomDatagrams(sender *driftgossippb.Entry) (messages []*driftgossippb.Datagram, targets []string) {
	if len(f.roomClaims) == 0 {
		return nil, nil
	}
	listeners := f.roomListeners(time.Now())
	reach := 1.0
	if len(listeners) > maxRoomTargets {
		reach = min(1, float64(maxRoomTargets*roomRounds)/float64(len(listeners)))
	}
	var room *driftgossippb.Room
	for rest := f.roomClaims; len(rest) > 0; {
		var list []RoomClaim
		list, rest = splitByService(rest)
		list = list[:min(len(list), MaxServiceClaims)]
		if room == nil || len(room.Claims)+len(list) > maxDatagramClaims {
			if len(messages) == maxRoomDatagrams {
				break
			}
			room = &driftgossippb.Room{Reach: float32(reach)}
			messages = append(messages, &driftgossippb.Datagram{Sender: sender, Room: room})
		}
		for _, c := range list {
			room.Claims = append(room.Claims, &driftgossippb.Claim{
				Service: c.Service, Class: c.Class, Account: c.Account, Priority: int32(c.Priority),
				Demand: float32(c.Demand), Running: float32(c.Running),
			})
		}
	}
	return messages, addresses(sample(listeners, maxRoomTargets))
}

// splitByService splits claims, of which there are some, after those of the first
// service.
func splitByService(claims []RoomClaim) (first, rest []RoomClaim) {
	n := slices.IndexFunc(claims, func(c RoomClaim) bool { return c.Service != claims[0].Service })
	if n < 0 {
		n = len(claims)
	}
	return claims[:n:n], claims[n:]
}

// roomListeners returns the VMs that carry load, and those that have announced a demand
// of late. The caller holds the lock.
func (f *Fleet) roomListeners(now time.Time) (listeners []Member) {
	for name, at := range f.roomHeard {
		if now.Sub(at) > roomMemory {
			delete(f.roomHeard, name)
		}
	}
	for _, m := range f.table.alive() {
		if _, announced := f.roomHeard[m.Name]; m.Load > 0 || announced {
			listeners = append(listeners, m)
		}
	}
	return listeners
}

// handleRoom hands over the claims of a datagram, service by service.
func (f *Fleet) handleRoom(message *driftgossippb.Datagram) {
	room := message.GetRoom()
	if room == nil || f.onRoom == nil {
		return
	}
	claims := make([]RoomClaim, 0, len(room.GetClaims()))
	for _, c := range room.GetClaims() {
		claims = append(claims, RoomClaim{
			Service: c.GetService(), Class: c.GetClass(), Account: c.GetAccount(), Priority: int(c.GetPriority()),
			Demand: finite(c.GetDemand()), Running: finite(c.GetRunning()),
		})
	}
	reach := float64(room.GetReach())
	if !(reach > 0 && reach <= 1) {
		reach = 1
	}
	sender := message.GetSender()
	f.mu.Lock()
	if _, known := f.table.members[sender.GetName()]; known {
		f.roomHeard[sender.GetName()] = time.Now()
	}
	f.mu.Unlock()
	for len(claims) > 0 {
		var list []RoomClaim
		list, claims = splitByService(claims)
		f.onRoom(sender.GetName(), sender.GetDomain(), list, reach)
	}
}

// maxClaimDemand bounds the demand that a claim may state.
const maxClaimDemand = 1 << 20

// roomMemory is how long a VM that has announced a demand is told of others, also if it
// carries little load.
const roomMemory = 2 * time.Second

// finite returns a stated demand within its bounds.
func finite(demand float32) float64 {
	if !(demand > 0) {
		return 0
	}
	return min(float64(demand), maxClaimDemand)
}
