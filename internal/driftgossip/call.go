package driftgossip

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/almonddrift/almonddrift/internal/driftexchange"
	"github.com/almonddrift/almonddrift/internal/driftgossip/driftgossippb"
	"github.com/almonddrift/almonddrift/internal/driftstate"
)

// changesTimeout bounds a call from one VM to another for changes.
const changesTimeout = 700 * time.Millisecond

// Bounds of messages between VMs, in bytes.
const (
	// maxChangesBytes is the largest accepted answer with changes, which may hold
	// all that is published.
	maxChangesBytes = 32 << 20
	// maxRequestBytes is the largest accepted body of a request for changes.
	maxRequestBytes = 4 << 10
	maxHeaderBytes  = 64 << 10
)

// TwirpClient asks other VMs for changes over Twirp.
type TwirpClient struct {
	client *http.Client
	port   string
}

// NewTwirpClient returns a client that reaches every VM at the given port.
func NewTwirpClient(port string) *TwirpClient {
	transport := &http.Transport{
		DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: changesTimeout}).DialContext,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
	return &TwirpClient{client: &http.Client{Transport: limitedTransport{transport}, Timeout: changesTimeout}, port: port}
}

// limitedTransport bounds the bodies of responses, which the generated client
// reads whole.
type limitedTransport struct{ http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (l limitedTransport) RoundTrip(request *http.Request) (response *http.Response, err error) {
	response, err = l.RoundTripper.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	if err := driftexchange.CheckFinal(response); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	response.Body = http.MaxBytesReader(nil, response.Body, maxChangesBytes)
	return response, nil
}

// Changes implements ChangesClient. The address is the one that the VM gossips
// from; only its IP address is used.
func (t *TwirpClient) Changes(ctx context.Context, address string, after driftstate.Revision) (c driftstate.Changes, err error) {
	defer errors.DeferredAnnotatef(&err, "VM at %s", address)
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return c, err
	}
	base := "http://" + net.JoinHostPort(parsed.Addr().String(), t.port)
	client := driftgossippb.NewGossipProtobufClient(base, t.client)
	asked := time.Now()
	reply, err := client.Changes(ctx, &driftgossippb.ChangesRequest{After: after.Number, Era: after.Era})
	if err != nil {
		return c, err
	}
	c = driftstate.Changes{
		Full:     reply.GetFull(),
		Revision: driftstate.Revision{Era: reply.GetEra(), Number: reply.GetRevision()},
	}
	if reply.GetAge() < unconfirmedAgeMillis {
		c.Confirmed = asked.Add(-time.Duration(reply.GetAge()) * time.Millisecond)
	}
	for _, i := range reply.GetItems() {
		c.Items = append(c.Items, driftstate.Item{
			Key: i.GetKey(), Value: i.GetValue(), Removed: i.GetRemoved(),
			Revision: driftstate.Revision{Era: i.GetEra(), Number: i.GetRevision()},
		})
	}
	return c, nil
}

// Server answers calls for changes from other VMs.
type Server struct{ replica *driftstate.Replica }

// NewHandler returns the HTTP handler for calls from other VMs.
func NewHandler(replica *driftstate.Replica) http.Handler {
	return http.MaxBytesHandler(driftgossippb.NewGossipServer(&Server{replica: replica}), maxRequestBytes)
}

// Changes implements driftgossippb.Gossip.
func (s *Server) Changes(_ context.Context, request *driftgossippb.ChangesRequest) (*driftgossippb.ChangesReply, error) {
	c := s.replica.ChangesAfter(driftstate.Revision{Era: request.GetEra(), Number: request.GetAfter()})
	reply := &driftgossippb.ChangesReply{
		Full: c.Full, Era: c.Revision.Era, Revision: c.Revision.Number, Age: unconfirmedAgeMillis,
	}
	if !c.Confirmed.IsZero() {
		reply.Age = uint32(min(time.Since(c.Confirmed).Milliseconds(), unconfirmedAgeMillis))
	}
	for _, i := range c.Items {
		// The message holds text only, and one odd key must not hold up the others.
		reply.Items = append(reply.Items, &driftgossippb.Item{
			Key: strings.ToValidUTF8(i.Key, "\ufffd"), Value: i.Value, Era: i.Revision.Era, Revision: i.Revision.Number, Removed: i.Removed,
		})
	}
	return reply, nil
}
