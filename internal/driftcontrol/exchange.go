package driftcontrol

import (
	"context"
	"time"

	pb "github.com/almonddrift/almonddrift/internal/driftpeer/driftpeerpb"
	"github.com/almonddrift/almonddrift/internal/driftplatform"
)

// Times and sizes of the exchange of documents between VMs.
const (
	// maxPushes is how many VMs of its own domain a VM pushes a new document to.
	maxPushes = 8
	// pushTimeout bounds one exchange.
	pushTimeout = 2 * time.Second
	// syncTimeout is how long a new VM waits to compare its documents with those
	// of other VMs before it uses documents that only the service has given it.
	syncTimeout = 2 * time.Second
	// maxReplyBytes is the size of documents after which a reply ends; the
	// rest follows after the next probe.
	maxReplyBytes = 4 << 20
)

type (
	// documentsReceived are documents that another VM has sent, and the
	// revisions that it holds. The reply goes to answer.
	documentsReceived struct {
		documents []parsedDocument
		held      []*pb.Revision
		answer    chan<- *pb.DocumentsReply
	}
	// pullResult is the result of a pull from another VM, empty when it failed.
	pullResult struct {
		vm        string
		documents []parsedDocument
	}
	// serviceAnswered reports that the configuration service has answered.
	serviceAnswered struct{}
)

func (documentsReceived) message() {}
func (pullResult) message()        {}
func (serviceAnswered) message()   {}

// Documents exchanges configuration documents with another VM.
func (c *Control) Documents(ctx context.Context, w *pb.DocumentsRequest) (*pb.DocumentsReply, error) {
	answer := make(chan *pb.DocumentsReply, 1)
	c.sendMessage(ctx, documentsReceived{
		documents: c.parseAll(w.GetPushed()), held: w.GetHeld(), answer: answer,
	})
	select {
	case reply := <-answer:
		return reply, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// parseAll parses the documents that are newer than those in force.
func (c *Control) parseAll(documents []*pb.Document) []parsedDocument {
	v := c.views.Load()
	all := make([]parsedDocument, 0, len(documents))
	for _, d := range documents {
		if held, found := v.Revisions.Get(d.GetKey()); found && held.Number >= d.GetNumber() {
			continue
		}
		all = append(all, parseDocument(driftplatform.Value{Key: d.GetKey(), Revision: d.GetNumber(), Body: d.GetBody()}))
	}
	return all
}

// receiveDocuments puts documents from another VM in force, pushes the new ones
// on, and replies with those that the other VM lacks.
func (c *Control) receiveDocuments(ctx context.Context, m documentsReceived) {
	for _, p := range m.documents {
		if c.applyDocument(p) {
			c.pushDocument(ctx, p.value)
		}
	}
	m.answer <- &pb.DocumentsReply{Documents: c.newerThan(m.held)}
}

// newerThan returns the documents that are newer than the given revisions, none
// if no revision is given.
func (c *Control) newerThan(held []*pb.Revision) []*pb.Document {
	if len(held) == 0 {
		return nil
	}
	numbers := make(map[string]uint64, len(held))
	for _, r := range held {
		numbers[r.GetKey()] = r.GetNumber()
	}
	var (
		newer []*pb.Document
		size  int
	)
	for _, key := range sortedKeys(c.documents.rows) {
		value := c.documents.rows[key].value
		if value.Revision <= numbers[key] || size > maxReplyBytes {
			continue
		}
		size += len(value.Body)
		newer = append(newer, &pb.Document{Key: key, Number: value.Revision, Body: value.Body})
	}
	return newer
}

// pushDocument sends a new document to VMs of this domain, and to one VM of
// another.
func (c *Control) pushDocument(ctx context.Context, value driftplatform.Value) {
	request := &pb.DocumentsRequest{
		Pushed: []*pb.Document{{Key: value.Key, Number: value.Revision, Body: value.Body}},
	}
	for _, address := range c.pushTargets() {
		c.spawn(func() {
			ctx, cancel := context.WithTimeout(ctx, pushTimeout)
			defer cancel()
			// After a failed push, the next probe makes the VM pull the document.
			_, _ = c.peers.UnpooledPeer(address).Documents(ctx, request)
		})
	}
}

func (c *Control) pushTargets() []string {
	var ownDomain, otherDomains []string
	for name, m := range c.members.rows {
		if name == c.self.Name || m.vm.Peers == "" || !m.monitored {
			continue
		}
		if m.vm.Domain == c.self.Domain {
			ownDomain = append(ownDomain, m.vm.Peers)
		} else {
			otherDomains = append(otherDomains, m.vm.Peers)
		}
	}
	c.random.Shuffle(len(ownDomain), func(i, j int) { ownDomain[i], ownDomain[j] = ownDomain[j], ownDomain[i] })
	targets := ownDomain[:min(len(ownDomain), maxPushes)]
	if len(otherDomains) > 0 {
		targets = append(targets, otherDomains[c.random.IntN(len(otherDomains))])
	}
	return targets
}

// addRevisions adds this VM's revisions to the reply if the sender's differ, and
// the time since the last contact with the configuration service.
func (c *Control) addRevisions(w *pb.ProbeRequest, reply *pb.ProbeReply, now time.Time) {
	if w.GetHeld() != c.documents.digest {
		reply.Revisions = c.documents.revisions()
	}
	reply.Contact = c.configContactAge(now)
}

// configContactAge returns the time since the configuration service last
// answered, in microseconds plus one; 0 if it never has.
func (c *Control) configContactAge(now time.Time) int64 {
	if c.lastConfigContact.IsZero() {
		return 0
	}
	return now.Sub(c.lastConfigContact).Microseconds() + 1
}

// pullIfBehind pulls documents from a VM whose reply shows newer ones.
func (c *Control) pullIfBehind(ctx context.Context, m *member, reply *pb.ProbeReply, now time.Time) {
	if age := reply.GetContact(); age > 0 {
		c.recordConfigContact(now.Add(-time.Duration(age) * time.Microsecond))
	}
	if reply.GetHeld() == c.documents.digest {
		c.documentsSynced = c.documentsSynced || len(c.documents.rows) > 0
		return
	}
	behind := false
	for _, r := range reply.GetRevisions() {
		behind = behind || c.documents.lacks(r.GetKey(), r.GetNumber())
	}
	if !behind {
		c.documentsSynced = c.documentsSynced || len(reply.GetRevisions()) > 0
		return
	}
	if !m.pulling {
		m.pulling = true
		c.pull(ctx, m)
	}
}

// pull asks a VM for the documents that are newer than those in force.
func (c *Control) pull(ctx context.Context, m *member) {
	name, address := m.vm.Name, m.vm.Peers
	request := &pb.DocumentsRequest{Held: c.documents.revisions()}
	if len(request.GetHeld()) == 0 {
		// A request without revisions gets no documents.
		request.Held = []*pb.Revision{{}}
	}
	c.spawn(func() {
		limited, cancel := context.WithTimeout(ctx, pushTimeout)
		defer cancel()
		reply, err := c.peers.UnpooledPeer(address).Documents(limited, request)
		if err != nil {
			reply = &pb.DocumentsReply{}
		}
		c.sendMessage(ctx, pullResult{vm: name, documents: c.parseAll(reply.GetDocuments())})
	})
}

// applyPull puts pulled documents in force.
func (c *Control) applyPull(e pullResult) {
	if m, found := c.members.rows[e.vm]; found {
		m.pulling = false
	}
	for _, p := range e.documents {
		c.applyDocument(p)
	}
	c.documentsSynced = c.documentsSynced || len(e.documents) > 0
}
