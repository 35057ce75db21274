package peer

// This file defines how names that recur on a link are sent once and then by number:
// otherwise groups, organisations, classes and servers would be two thirds of the bytes of
// permit requests, grants and releases.

import (
	"strings"

	"bergamotspring/core/fleet"
	"bergamotspring/schema/wire"
)

const (
	maxNames     = 8192 // numbered at a time; after that the numbers start over
	maxNameBytes = 1024
)

// named is a message body that numbers the names of its link.
type named func(*numbering) any

// numbering assigns numbers to the names that one end of a link sends.
type numbering struct {
	numbers map[string]int
	unsent  []string // numbered, but not sent yet
	err     error
}

// number returns the number of a name. 0 stands for the empty one.
func (n *numbering) number(s string) int {
	if s == "" {
		return 0
	}
	if i, ok := n.numbers[s]; ok {
		return i
	}
	if len(s) > maxNameBytes {
		n.err = &OversizedError{Size: len(s), Limit: maxNameBytes}
		return 0
	}
	if n.numbers == nil {
		n.numbers = map[string]int{}
	}
	i := len(n.numbers) + 1
	n.numbers[strings.Clone(s)] = i
	n.unsent = append(n.unsent, s)
	return i
}

// group returns the number of a group, whose pool and domain are one name.
func (n *numbering) group(g fleet.GroupID) int {
	if g == (fleet.GroupID{}) {
		return 0
	}
	return n.number(g.Pool + "\x00" + g.Domain)
}

// sendNamed encodes a message and queues it with enqueue, after a message with its new
// names. If that could not be queued, the numbers start over, as the peer lacks some.
func sendNamed(n *numbering, t Type, seq uint64, body any, enqueue func(Type, *buffer) error) error {
	if f, ok := body.(named); ok {
		if len(n.numbers) >= maxNames {
			*n = numbering{}
		}
		body = f(n)
		if err := n.flush(enqueue); err != nil {
			*n = numbering{}
			return err
		}
	}
	b, err := encode(t, seq, body)
	if err != nil {
		return err
	}
	return enqueue(t, b)
}

func (n *numbering) flush(enqueue func(Type, *buffer) error) error {
	if n.err != nil {
		return n.err
	}
	if len(n.unsent) == 0 {
		return nil
	}
	b, err := encode(TypeNames, 0, &wire.Names{First: len(n.numbers) - len(n.unsent) + 1, Names: n.unsent})
	if err != nil {
		return err
	}
	n.unsent = nil
	return enqueue(TypeNames, b)
}

// names holds the names that the other end has numbered. Copies stay valid when names are
// added.
type names struct {
	list []string
	err  error // a number without a name was used
}

// add adds the names of a Names message.
func (n *names) add(body []byte) error {
	var w wire.Names
	if err := decode(body, &w); err != nil {
		return err
	}
	if w.First == 1 {
		n.list = nil
	}
	// The sender starts over only before a message, whose names may thus exceed maxNames.
	if w.First != len(n.list)+1 || len(n.list)+len(w.Names) > 2*maxNames {
		return &FrameError{Cause: "names out of order"}
	}
	for _, s := range w.Names {
		if len(s) > maxNameBytes {
			return &FrameError{Cause: "name too long"}
		}
	}
	n.list = append(n.list, w.Names...)
	return nil
}

// name returns the name that has number i.
func (n *names) name(i int) string {
	if i == 0 {
		return ""
	}
	if i < 0 || i > len(n.list) {
		n.err = &FrameError{Cause: "number without a name"}
		return ""
	}
	return n.list[i-1]
}

func (n *names) group(i int) fleet.GroupID {
	p, d, _ := strings.Cut(n.name(i), "\x00")
	return fleet.GroupID{Pool: p, Domain: d}
}
