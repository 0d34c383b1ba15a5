package driftgossip

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"google.golang.org/protobuf/proto"

	"github.com/almonddrift/almonddrift/internal/driftgossip/driftgossippb"
	"github.com/almonddrift/almonddrift/internal/driftstate"
)

// discard is a socket that records where datagrams are sent to.
type discard struct {
	net.PacketConn
	targets []string
}

// WriteTo implements net.PacketConn.
func (d *discard) WriteTo(data []byte, to net.Addr) (int, error) {
	d.targets = append(d.targets, to.String())
	return len(data), nil
}

// TestNameInDatagramWasLookedUp guards against resolving a name that a datagram
// gives as an address.
func TestNameInDatagramWasLookedUp(t *testing.T) {
	socket := new(discard)
	fleet := New(Self{Name: "vm-0", Domain: "d", Address: "10.0.0.0:7740"}, nil, socket, driftstate.NewReplica(), replicas{})
	for _, address := range []string{"localhost:7740", "", "10.0.0.1", "10.0.0.2:7740"} {
		fleet.writeTo(address, func(*driftgossippb.Datagram) {})
	}
	assert.Equal(t, []string{"10.0.0.2:7740"}, socket.targets)
}

// FuzzDatagram merges arbitrary datagrams into a fleet, which must survive them.
func FuzzDatagram(f *testing.F) {
	for _, message := range []*driftgossippb.Datagram{
		{Sender: &driftgossippb.Entry{Name: "vm-1", Domain: "d", Address: "10.0.0.1:1", Boot: 1, Beat: 1}},
		{Sender: &driftgossippb.Entry{Name: "vm-1"}, Sync: true, Entries: []*driftgossippb.Entry{{Name: "vm-0", Dead: true}}},
		{Sender: &driftgossippb.Entry{Name: "vm-2", Era: 2, Revision: 1}, Suspects: []*driftgossippb.Suspect{{Upstream: "u", Span: 9}}},
	} {
		data, err := proto.Marshal(message)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(_ *testing.T, data []byte) {
		self := Self{Name: "vm-0", Domain: "d", Address: "10.0.0.0:7740", Incarnation: 1}
		fleet := New(self, nil, new(discard), driftstate.NewReplica(), replicas{})
		var message driftgossippb.Datagram
		if proto.Unmarshal(data, &message) == nil {
			fleet.mergeDatagram(&message, time.Now())
			fleet.runRound()
		}
	})
}
