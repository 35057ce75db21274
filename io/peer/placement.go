package peer

// This file carries the messages between nodes on the users' platform: placement requests
// and reports of crashes. tables.go has those about the tables of the platform's store.

import (
	"context"
	"time"

	"bergamotspring/core/load"
	"bergamotspring/core/placement"
	"bergamotspring/core/relay"
	"bergamotspring/core/rollout"
	"bergamotspring/core/suspect"
	"bergamotspring/schema/wire"
)

// PlacementProtocol is the version of the messages of PlacementHandlers. Nodes state it when they
// register, and exchange these messages only with nodes of the same version.
const PlacementProtocol = 8

// PlacementHandlers handles the messages of other nodes on the users' platform. All fields
// must be set.
type PlacementHandlers struct {
	// Request decides on a placement request. Respond may be called later, from any
	// goroutine, and before it progress, with the results that exist.
	Request func(a placement.Request, progress func([]placement.StageProgress), respond func(placement.Decision))
	// Report handles the report on a granted request or, without a server, the withdrawal
	// of a request.
	Report func(placement.Report)
	// Segments handles which prompt segments servers of another region have read.
	Segments func([]placement.SegmentAnnouncement)
	// Crash handles that requests were on a server when it crashed or, without a server,
	// that they crash none. Fingerprint 0 means only the segments.
	Crash func(server string, at time.Time, requests []suspect.Request)
	// Exhausted handles that a server crashed for want of memory.
	Exhausted func(server string)
	// Culprits merges what another node knows to crash servers, and returns what this one
	// knows and what of the other's was cleared.
	Culprits func(from string, l []suspect.Notice) (known []suspect.Notice, cleared []suspect.Request)
	// Trial grants a trial of a request that is refused for what crashes servers, or returns
	// how long to ask no more.
	Trial func(r suspect.Request) (wait time.Duration)
	// ReadFor returns for how long results of earlier processes may be read in the place of one.
	ReadFor func(placement.Maker) time.Duration
	// Proven handles that another coordinator has found that no results of processes before some are read any more.
	Proven func([]placement.Maker)
	// Tables responds to a query for tables of the store. Respond may be called later, from
	// any goroutine.
	Tables func(q TablesQuery, respond func(Tables))
	// Rollout takes a node's report on a rollout and returns the reply, and false if this node does not decide on
	// that order. Written says that the store has the end of the rollout, and the node need not report any more.
	Rollout func(rollout.Report) (r rollout.Reply, written, ok bool)
}

// Register sets the handlers of m. It must be called before Serve.
func (h PlacementHandlers) Register(m *Mesh) {
	m.onlyCurrent = true // PlacementProtocol has no previous version
	handle(m, TypePlaceAsk, true, func(r *Request, b wire.PlaceAsk) {
		progress := func(l []placement.StageProgress) {
			r.SendProgress(TypePlaceProgress, &wire.PlaceProgress{Made: each(l, wireStageProgress)})
		}
		h.Request(placementRequestOf(b), progress, func(a placement.Decision) { reply(r, TypePlaceAnswer, wirePlacementDecision(a)) })
	})
	handle(m, TypePlaceNote, true, func(_ *Request, b wire.PlaceNote) {
		h.Report(placement.Report{
			Key: keyOf(b.Id, b.Nonce), Attempt: b.Try, Server: b.Server, Status: placement.RunStatus(b.End), Load: loadOf(b.Load), Events: b.Events,
		})
	})
	handle(m, TypePlaceSegments, true, func(_ *Request, b wire.PlaceSegments) { h.Segments(announcementsOf(b, time.Now())) })
	handle(m, TypeCrash, true, func(_ *Request, b wire.Crash) {
		if b.Memory != nil && *b.Memory {
			h.Exhausted(b.Server)
			return
		}
		now := time.Now()
		h.Crash(b.Server, now.Add(-duration(max(0, b.Age))), each(b.Requests, suspectOf))
	})
	handle(m, TypeCrashCulprits, true, func(r *Request, b wire.CrashCulprits) {
		known, cleared := h.Culprits(r.From.Node, noticesOf(b, time.Now()))
		reply(r, TypeCrashCulprits, wireCulprits(known, cleared, time.Now()))
	})
	handle(m, TypeCrashTrial, true, func(r *Request, b wire.CrashRequest) {
		reply(r, TypeCrashTrial, wireTrial(h.Trial(suspectOf(b))))
	})
	handle(m, TypePlaceInquiry, true, func(r *Request, b wire.PlaceInquiry) {
		if b.Proven {
			h.Proven(each(b.Makers, makerOf))
			return
		}
		reply(r, TypePlaceReadings, &wire.PlaceReadings{Left: each(b.Makers, func(w wire.PlaceMaker) int { return micros(h.ReadFor(makerOf(w)) + time.Microsecond - 1) })})
	})
	h.registerRollouts(m)
	handle(m, TypeMirrorAsk, true, func(r *Request, b wire.MirrorAsk) {
		h.Tables(tablesQueryOf(b, time.Now()), func(t Tables) { reply(r, TypeMirror, wireTables(t, time.Now())) })
	})
}

// RequestPlacement sends a request to the region coordinator at an address. Done gets the
// decision exactly once, unless RequestPlacement returns an error: then nothing was sent. Before
// that, progress gets the results that exist, whenever there are more.
func (m *Mesh) RequestPlacement(to string, a placement.Request, expire time.Duration, progress func([]placement.StageProgress), done func(placement.Decision, error)) error {
	onProgress := func(r Reply) {
		var w wire.PlaceProgress
		if r.Decode(&w) == nil { // without it the results are lost if the coordinator crashes
			progress(each(w.Made, stageProgressOf))
		}
	}
	return m.startWithProgress(to, TypePlaceAsk, wirePlacementRequest(a), expire, onProgress, func(r Reply, err error) {
		var w wire.PlaceAnswer
		if err == nil {
			err = r.decodeAs(TypePlaceAnswer, &w)
		}
		done(placementDecisionOf(w), err)
	})
}

// SendReport sends a report, or without a server a withdrawal, to the region coordinator at
// an address; it may be lost without an error.
func (m *Mesh) SendReport(to string, n placement.Report) error {
	return m.Send(to, TypePlaceNote, &wire.PlaceNote{
		Id: n.ID, Nonce: int(n.Nonce), Try: n.Attempt, Server: n.Server, End: int(n.Status), Load: wireLoad(n.Load), Events: n.Events,
	})
}

func wireLoad(r *load.Report) []int {
	if r == nil {
		return nil
	}
	return []int{r.Running, r.Waiting, r.Slots, int(r.Slowness + 0.5)}
}

// loadOf returns the load that a server reported, nil if it did not.
func loadOf(l []int) *load.Report {
	if len(l) != 4 {
		return nil
	}
	return &load.Report{Running: l[0], Waiting: l[1], Slots: l[2], Slowness: float64(l[3])}
}

// SendSegments tells the coordinator of another region which prompt segments servers have read; it may be lost
// without an error.
func (m *Mesh) SendSegments(to string, l []placement.SegmentAnnouncement) error {
	return m.Send(to, TypePlaceSegments, wireAnnouncements(l, time.Now()))
}

func wireAnnouncements(l []placement.SegmentAnnouncement, now time.Time) *wire.PlaceSegments {
	return &wire.PlaceSegments{Copies: each(l, func(c placement.SegmentAnnouncement) wire.PlaceCopy {
		return wire.PlaceCopy{Segment: int(c.Segment), Server: c.Server, Age: wireAge(c.UsedAt, now)}
	})}
}

func announcementsOf(w wire.PlaceSegments, now time.Time) []placement.SegmentAnnouncement {
	return each(w.Copies, func(c wire.PlaceCopy) placement.SegmentAnnouncement {
		return placement.SegmentAnnouncement{Segment: uint64(c.Segment), Server: c.Server, UsedAt: timeOf(c.Age, now)}
	})
}

// SendCrash notifies the node at an address of the requests that were on a server when it
// crashed, at a time, or without a server of requests that crash none; it may be lost without an error.
func (m *Mesh) SendCrash(to, server string, at time.Time, requests []suspect.Request) error {
	return m.Send(to, TypeCrash, &wire.Crash{Server: server, Age: wireAge(at, time.Now()), Requests: each(requests, wireSuspect)})
}

// SendExhausted notifies the node at an address that a server crashed for want of memory; it may be lost without an
// error.
func (m *Mesh) SendExhausted(to, server string) error {
	yes := true
	return m.Send(to, TypeCrash, &wire.Crash{Server: server, Requests: []wire.CrashRequest{}, Memory: &yes})
}

func wireSuspect(r suspect.Request) wire.CrashRequest {
	return wire.CrashRequest{Fingerprint: int(r.Fingerprint), Segments: ints(r.Segments)}
}

func suspectOf(w wire.CrashRequest) suspect.Request {
	return suspect.Request{Fingerprint: uint64(w.Fingerprint), Segments: uints(w.Segments)}
}

func wirePlacementRequest(a placement.Request) *wire.PlaceAsk {
	return &wire.PlaceAsk{
		Id: a.ID, Nonce: int(a.Nonce), Try: a.Attempt, Service: a.Service, Key: a.InputKey, Tokens: a.Tokens, Prompt: a.Prompt, EventGap: micros(a.EventGap), Rank: a.Priority,
		Goal: micros(a.Goal), Left: micros(a.Remaining), Regions: a.Regions, Avoid: a.Avoid, Again: a.Retry, Elsewhere: a.HasFallback, Gone: a.InputLost,
		Route: a.Route, Organisation: a.Organisation, Made: each(a.Progress, wireStageProgress), InBatches: each(a.InBatches, wireServerBytes),
		Version: a.Rule.Version, Not: a.Rule.Not, Focus: a.Rule.Focus, AnyVersion: a.AnyVersion,
		Parts: each(a.Segments, func(p placement.PromptSegment) wire.PlacePart {
			return wire.PlacePart{Hash: int(p.Hash), Tokens: p.Tokens}
		}),
		Stages: each(a.Stages, func(s placement.StageRequest) wire.PlaceStage {
			return wire.PlaceStage{Service: s.Service, After: s.After, ResultBytes: int(s.ResultBytes), Pieces: s.Tasks}
		}),
	}
}

func placementRequestOf(w wire.PlaceAsk) placement.Request {
	return placement.Request{
		Key: keyOf(w.Id, w.Nonce), Attempt: w.Try, Service: w.Service, InputKey: w.Key, Tokens: w.Tokens, Prompt: w.Prompt, EventGap: duration(w.EventGap), Priority: w.Rank,
		Goal: duration(w.Goal), Remaining: duration(w.Left), Regions: w.Regions, Avoid: w.Avoid, Retry: w.Again, HasFallback: w.Elsewhere, InputLost: w.Gone,
		Route: w.Route, Organisation: w.Organisation, Progress: each(w.Made, stageProgressOf),
		InBatches: each(w.InBatches, serverBytesOf),
		Rule:      rollout.Rule{Version: w.Version, Not: w.Not, Focus: w.Focus}, AnyVersion: w.AnyVersion,
		Segments: each(w.Parts, func(p wire.PlacePart) placement.PromptSegment {
			return placement.PromptSegment{Hash: uint64(p.Hash), Tokens: p.Tokens}
		}),
		Stages: each(w.Stages, func(s wire.PlaceStage) placement.StageRequest {
			return placement.StageRequest{Service: s.Service, After: s.After, ResultBytes: int64(s.ResultBytes), Tasks: s.Pieces}
		}),
	}
}

func wirePlacementDecision(a placement.Decision) *wire.PlaceAnswer {
	s := a.Server
	return &wire.PlaceAnswer{
		Id: a.ID, Server: s.ID, Address: s.Address, Domain: s.Domain, Region: s.Region, Service: s.Service,
		Inputs: a.Inputs, Fetch: a.KVSource, Reason: a.Reason, RetryAfter: micros(a.RetryAfter), Made: each(a.Progress, wireStageProgress),
		InBatches: each(a.InBatches, wireServerBytes), Version: s.Version, Makers: each(a.Makers, wireMaker),
	}
}

// Inquire asks the node at an address for how long results of earlier processes may be read in the places of some.
func (m *Mesh) Inquire(ctx context.Context, to string, l []placement.Maker) ([]time.Duration, error) {
	var w wire.PlaceReadings
	if err := m.Call(ctx, to, TypePlaceInquiry, &wire.PlaceInquiry{Makers: each(l, wireMaker)}, TypePlaceReadings, &w); err != nil {
		return nil, err
	}
	return each(w.Left, duration), nil
}

// SendProven tells the node at an address that no results of processes before some are read any more; it may be lost without
// an error.
func (m *Mesh) SendProven(to string, l []placement.Maker) error {
	return m.Send(to, TypePlaceInquiry, &wire.PlaceInquiry{Makers: each(l, wireMaker), Proven: true})
}

func wireMaker(p placement.Maker) wire.PlaceMaker {
	return wire.PlaceMaker{Address: p.Address, Server: p.ID, Started: int(p.StartedAt)}
}

func makerOf(w wire.PlaceMaker) placement.Maker {
	return placement.Maker{Address: w.Address, Process: relay.Process{ID: w.Server, StartedAt: int64(w.Started)}}
}

func keyOf(id string, nonce int) placement.Key { return placement.Key{ID: id, Nonce: uint64(nonce)} }

func wireServerBytes(b placement.ServerBytes) wire.PlaceServerBytes {
	return wire.PlaceServerBytes{Server: b.Server, Bytes: int(b.Bytes)}
}

func serverBytesOf(w wire.PlaceServerBytes) placement.ServerBytes {
	return placement.ServerBytes{Server: w.Server, Bytes: int64(w.Bytes)}
}

func wireStageProgress(m placement.StageProgress) wire.PlaceMade {
	return wire.PlaceMade{Stage: m.Stage, Released: m.Released, Pieces: each(m.Results, func(p placement.StoredResult) wire.PlaceMadePiece {
		return wire.PlaceMadePiece{Index: p.Index, Server: p.Server, Started: int(p.StartedAt), Handle: p.Handle}
	})}
}

func stageProgressOf(w wire.PlaceMade) placement.StageProgress {
	return placement.StageProgress{Stage: w.Stage, Released: w.Released, Results: each(w.Pieces, func(p wire.PlaceMadePiece) placement.StoredResult {
		return placement.StoredResult{Index: p.Index, Server: p.Server, StartedAt: int64(p.Started), Handle: p.Handle}
	})}
}

func placementDecisionOf(w wire.PlaceAnswer) placement.Decision {
	return placement.Decision{
		Key:    placement.Key{ID: w.Id},
		Server: relay.Server{ID: w.Server, Address: w.Address, Domain: w.Domain, Region: w.Region, Service: w.Service, Version: w.Version},
		Inputs: w.Inputs, KVSource: w.Fetch, Reason: w.Reason, RetryAfter: duration(w.RetryAfter), Progress: each(w.Made, stageProgressOf),
		InBatches: each(w.InBatches, serverBytesOf), Makers: each(w.Makers, makerOf),
	}
}
