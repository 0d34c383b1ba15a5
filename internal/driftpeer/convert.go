package driftpeer

import (
	"time"

	pb "github.com/almonddrift/almonddrift/internal/driftpeer/driftpeerpb"
	"github.com/almonddrift/almonddrift/internal/driftshard"
)

// requestToWire converts a request. The message has the remaining time instead
// of the deadline, since the clocks of two VMs may differ.
func requestToWire(r driftshard.Request) *pb.ShardRequest {
	return &pb.ShardRequest{
		Query: r.Query, Attempt: r.Attempt, Class: r.Class, Service: r.Service,
		Shard: r.Shard, Upstream: r.Upstream, Version: r.Version, Depots: r.Depots,
		Text: r.Text, Once: r.NonIdempotent, Relayed: r.Relayed,
		Budget: time.Until(r.Deadline).Microseconds(),
	}
}

func requestFromWire(w *pb.ShardRequest) driftshard.Request {
	return driftshard.Request{
		Query: w.GetQuery(), Attempt: w.GetAttempt(), Class: w.GetClass(), Service: w.GetService(),
		Shard: w.GetShard(), Upstream: w.GetUpstream(), Version: w.GetVersion(), Depots: w.GetDepots(),
		Text: w.GetText(), NonIdempotent: w.GetOnce(), Relayed: w.GetRelayed(),
		Deadline: time.Now().Add(time.Duration(w.GetBudget()) * time.Microsecond),
	}
}

// resultToWire stores a result in a reply.
func resultToWire(reply *pb.ShardReply, attempt string, r driftshard.Result) {
	reply.Attempt = attempt
	switch r := r.(type) {
	case driftshard.Done:
		reply.Result = &pb.ShardReply_Done{Done: doneToWire(r)}
	case driftshard.NotRun:
		reply.Result = &pb.ShardReply_Notrun{Notrun: &pb.NotRun{
			Reason: string(r.Reason), Owner: r.Owner, Retry: r.RetryAfter.Microseconds(), Load: loadToWire(r.Load),
		}}
	case driftshard.Unknown:
		reply.Result = &pb.ShardReply_Unknown{Unknown: &pb.Unknown{Reason: string(r.Reason)}}
	}
}

func doneToWire(d driftshard.Done) *pb.Done {
	rows := make([]*pb.Row, 0, len(d.Rows))
	for _, row := range d.Rows {
		rows = append(rows, &pb.Row{Depot: row.Depot, Text: row.Text})
	}
	return &pb.Done{
		Version: d.Version, Depots: d.Depots, Rows: rows, Count: int64(d.Count), Load: loadToWire(d.Load),
	}
}

// resultFromWire converts a reply. A reply to another attempt, or one without
// a result, does not show whether the request ran, so its result is unknown.
func resultFromWire(attempt string, w *pb.ShardReply) driftshard.Result {
	if w.GetAttempt() != attempt {
		return driftshard.Unknown{Reason: driftshard.ReasonCrossed}
	}
	switch {
	case w.GetDone() != nil:
		return doneFromWire(attempt, w.GetDone())
	case w.GetNotrun() != nil:
		n := w.GetNotrun()
		return driftshard.NotRun{
			Reason: driftshard.Reason(n.GetReason()), Owner: n.GetOwner(),
			RetryAfter: time.Duration(n.GetRetry()) * time.Microsecond, Load: loadFromWire(n.GetLoad()),
		}
	case w.GetUnknown() != nil:
		return driftshard.Unknown{Reason: driftshard.Reason(w.GetUnknown().GetReason())}
	}
	return driftshard.Unknown{Reason: driftshard.ReasonMalformed}
}

func doneFromWire(attempt string, w *pb.Done) driftshard.Result {
	rows := make([]driftshard.Row, 0, len(w.GetRows()))
	for _, row := range w.GetRows() {
		rows = append(rows, driftshard.Row{Depot: row.GetDepot(), Text: row.GetText()})
	}
	return driftshard.Done{
		Attempt: attempt, Version: w.GetVersion(), Depots: w.GetDepots(),
		Rows: rows, Count: int(w.GetCount()), Load: loadFromWire(w.GetLoad()),
	}
}

func loadToWire(l driftshard.Load) *pb.Load {
	return &pb.Load{
		Queue: int64(l.Queue), Flight: int64(l.InFlight), Limit: int64(l.Limit),
		Cold: l.Cold, Service: l.ServiceTime.Microseconds(),
	}
}

func loadFromWire(w *pb.Load) driftshard.Load {
	return driftshard.Load{
		Queue: int(w.GetQueue()), InFlight: int(w.GetFlight()), Limit: int(w.GetLimit()),
		Cold: w.GetCold(), ServiceTime: time.Duration(w.GetService()) * time.Microsecond,
	}
}
