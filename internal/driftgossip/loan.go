package driftgossip

import (
	"time"

	"github.com/almonddrift/almonddrift/internal/driftgossip/driftgossippb"
	"github.com/almonddrift/almonddrift/internal/driftshare"
)

// AskLoan sends a request for a loan to another VM.
func (f *Fleet) AskLoan(lender Member, request driftshare.Request) {
	f.writeTo(lender.Address, func(message *driftgossippb.Datagram) {
		message.Ask = &driftgossippb.Ask{Borrower: request.Borrower, Number: request.Number}
	})
}

// handleLoans answers the request for a loan in a datagram, and takes in the
// loan that it grants.
func (f *Fleet) handleLoans(message *driftgossippb.Datagram) {
	if f.loans == nil {
		return
	}
	sender := message.GetSender()
	if ask := message.GetAsk(); ask != nil {
		loan, ok := f.loans.Lend(driftshare.Request{Borrower: ask.GetBorrower(), Number: ask.GetNumber()})
		if ok {
			f.writeTo(sender.GetAddress(), func(answer *driftgossippb.Datagram) {
				answer.Loan = &driftgossippb.Loan{Number: loan.Number, Part: loan.Part}
			})
		}
	}
	if loan := message.GetLoan(); loan != nil {
		f.loans.Accept(sender.GetName(), driftshare.Loan{Number: loan.GetNumber(), Part: loan.GetPart()})
	}
}

// writeTo sends a datagram with this VM's entry and the given content.
func (f *Fleet) writeTo(address string, fill func(*driftgossippb.Datagram)) {
	f.mu.Lock()
	message := &driftgossippb.Datagram{Sender: f.selfEntry(time.Now())}
	f.mu.Unlock()
	fill(message)
	f.write(message, address)
}
