package peer

// This file carries what crashes servers from node to node. Times travel as ages, as the clocks of nodes
// differ.

import (
	"context"
	"time"

	"bergamotspring/core/suspect"
	"bergamotspring/schema/wire"
)

// ExchangeCulprits sends what this node knows to crash servers to the node at an address. It returns what
// that one knows, and what it has seen cleared of what was sent.
func (m *Mesh) ExchangeCulprits(ctx context.Context, to string, l []suspect.Notice) (known []suspect.Notice, cleared []suspect.Request, err error) {
	var w wire.CrashCulprits
	if err := m.Call(ctx, to, TypeCrashCulprits, wireCulprits(l, nil, time.Now()), TypeCrashCulprits, &w); err != nil {
		return nil, nil, err
	}
	return noticesOf(w, time.Now()), each(w.Cleared, suspectOf), nil
}

// AskTrial asks the node at an address for a trial of a request that is refused for what crashes servers. It
// returns 0 if it was granted, or how long to ask no more.
func (m *Mesh) AskTrial(ctx context.Context, to string, r suspect.Request) (wait time.Duration, err error) {
	var w wire.CrashTrial
	b := wireSuspect(r)
	if err := m.Call(ctx, to, TypeCrashTrial, &b, TypeCrashTrial, &w); err != nil {
		return 0, err
	}
	return duration(w.Wait), nil
}

// wireTrial returns the answer to a question for a trial. A wait is rounded up, as 0 grants one.
func wireTrial(wait time.Duration) *wire.CrashTrial {
	return &wire.CrashTrial{Wait: micros(wait + time.Microsecond - 1)}
}

func wireCulprits(l []suspect.Notice, cleared []suspect.Request, now time.Time) *wire.CrashCulprits {
	return &wire.CrashCulprits{Cleared: each(cleared, wireSuspect), Culprits: each(l, func(n suspect.Notice) wire.CrashCulprit {
		return wire.CrashCulprit{
			Fingerprint: int(n.Fingerprint), Segments: ints(n.Segments), Crashes: n.Crashes,
			CrashAge: wireAge(n.CrashedAt, now), RenewalAge: wireAge(n.RenewedAt, now), Renewals: n.Renewals, Trials: n.Trials,
		}
	})}
}

func noticesOf(w wire.CrashCulprits, now time.Time) []suspect.Notice {
	return each(w.Culprits, func(c wire.CrashCulprit) suspect.Notice {
		return suspect.Notice{
			Culprit:   suspect.Culprit{Fingerprint: uint64(c.Fingerprint), Segments: uints(c.Segments), Crashes: c.Crashes},
			CrashedAt: timeOf(c.CrashAge, now), RenewedAt: timeOf(c.RenewalAge, now), Renewals: c.Renewals, Trials: c.Trials,
		}
	})
}
