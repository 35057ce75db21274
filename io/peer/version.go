package peer

// This file defines what differs in the version before Protocol, so that nodes of both work together while
// a deployment is updated node by node. A node offers its own version in the hello; if it is refused, the
// previous one. The frames of a connection are in the version that both ends agreed on.
// When Protocol is raised, the messages of the then previous version take the place of Ask2.

import "bergamotspring/schema/wire"

const previousProtocol = Protocol - 1

// speaks reports whether a link may be in a protocol version.
func (m *Mesh) speaks(version int) bool {
	return version == Protocol || version == previousProtocol && !m.onlyCurrent
}

// toPrevious returns a frame as it is in previousProtocol. The frame that it replaces is freed.
func toPrevious(t Type, b *buffer) (*buffer, error) {
	if t != TypeAsk {
		return b, nil
	}
	defer b.free()
	m, err := parse(b.Bytes()[headerBytes:])
	if err != nil {
		return nil, err
	}
	var a wire.Ask
	if err := decode(m.body, &a); err != nil {
		return nil, err
	}
	return encode(t, m.seq, &wire.Ask2{
		Id: a.Id, Group: a.Group, Organisation: a.Organisation, Class: a.Class, Deadline: a.Deadline,
		Fingerprint: a.Fingerprint, Suspect: a.Suspect, Want: a.Want, Avoid: a.Avoid,
	})
}

// decodePreviousAsk reads the body of an Ask in previousProtocol, which has no prefix.
func decodePreviousAsk(body []byte, a *wire.Ask) error {
	var w wire.Ask2
	if err := decode(body, &w); err != nil {
		return err
	}
	*a = wire.Ask{
		Id: w.Id, Group: w.Group, Organisation: w.Organisation, Class: w.Class, Deadline: w.Deadline,
		Fingerprint: w.Fingerprint, Suspect: w.Suspect, Want: w.Want, Avoid: w.Avoid,
	}
	return nil
}
