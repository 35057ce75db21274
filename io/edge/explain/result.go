package explain

// This file defines the explanation of a request: its lines, the load of its stages, and a
// verdict in words.

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Stage sums up the batches that the nodes of a request sent to the servers of one service around
// its time, for this request or any other.
type Stage struct {
	Service    string
	Batches    int
	Failed     int // batches that were rejected, broken off or not sent
	Tasks      int
	Done       int
	NoCapacity int
	MaxQueued  int // most tasks queued behind one batch
}

// Result explains how a request ended, and why.
type Result struct {
	Request string
	Verdict string
	Lines   []Line
	Near    []Line // lines about its nodes and servers
	Stages  []Stage
}

// Summarise explains a request from the log lines of all nodes.
func Summarise(l []Line, request string) (*Result, error) {
	own, near, err := Find(l, request)
	if err != nil {
		return nil, err
	}
	s := &Result{Request: request, Lines: own}
	stages := map[string]*Stage{}
	for _, x := range near {
		if x.Event != "stage_call" {
			s.Near = append(s.Near, x)
			continue
		}
		n := x.text("service")
		if stages[n] == nil {
			stages[n] = &Stage{Service: n}
		}
		stages[n].add(&x)
	}
	for _, n := range slices.Sorted(maps.Keys(stages)) {
		s.Stages = append(s.Stages, *stages[n])
	}
	s.Verdict = s.verdict()
	return s, nil
}

func (s *Stage) add(l *Line) {
	s.Batches++
	if l.number("end") != 0 {
		s.Failed++
	}
	s.Tasks += int(l.number("pieces"))
	s.Done += int(l.number("made"))
	s.NoCapacity += int(l.number("no_room"))
	s.MaxQueued = max(s.MaxQueued, int(l.number("waiting")))
}

// last returns the last line of the request with an event, or nil.
func (s *Result) last(event string) *Line {
	for i := range slices.Backward(s.Lines) {
		if s.Lines[i].Event == event {
			return &s.Lines[i]
		}
	}
	return nil
}

// verdict returns in words how the request ended and why.
func (s *Result) verdict() string {
	for _, e := range []struct {
		event    string
		describe func(*Line) string
	}{
		{"refused", s.refused}, {"unknown", s.unknown}, {"broken_off", s.brokenOff}, {"caller_left", s.callerLeft}, {"answered", answered}, {"streamed", streamed},
	} {
		if l := s.last(e.event); l != nil {
			return e.describe(l)
		}
	}
	return "No line tells how it ended: the node that took it was killed, or its lines are missing."
}

func answered(l *Line) string {
	return fmt.Sprintf("Answered by %s with status %s after %v.", l.text("server"), l.text("status"), l.duration("after"))
}

func streamed(l *Line) string {
	return fmt.Sprintf("Streamed whole by %s, %s events, the first after %v.", l.text("server"), l.text("events"), l.duration("first_event"))
}

// refused describes a request that no server ran.
func (s *Result) refused(l *Line) string {
	v := fmt.Sprintf("Refused by %s after %v: %s. No server ran it.", l.Node, l.duration("after"), l.text("reason"))
	if p := s.last("place_refused"); p != nil {
		v += fmt.Sprintf(" The home %s had kept it for %v.", p.Node, p.duration("waited"))
		if w := s.longestQueue(); w != nil {
			v += fmt.Sprintf(" Most pieces waited for %s: %d behind one call; of %d pieces %d were made, %d found no room, and %d of %d calls failed.",
				w.Service, w.MaxQueued, w.Tasks, w.Done, w.NoCapacity, w.Failed, w.Batches)
		}
	}
	if n := s.count("send_failed", "not_run"); n > 0 {
		v += fmt.Sprintf(" Servers that it was sent to did not run it: %d.", n)
	}
	return v
}

// longestQueue returns the stage with the longest queue of tasks, or nil.
func (s *Result) longestQueue() *Stage {
	var w *Stage
	for i := range s.Stages {
		if x := &s.Stages[i]; x.MaxQueued > 0 && (w == nil || x.MaxQueued > w.MaxQueued) {
			w = x
		}
	}
	return w
}

func (s *Result) count(events ...string) int {
	n := 0
	for i := range s.Lines {
		if slices.Contains(events, s.Lines[i].Event) {
			n++
		}
	}
	return n
}

// unknown describes a request that a server may have run.
func (s *Result) unknown(l *Line) string {
	v := fmt.Sprintf("Ended with status %s after %v, which promises nothing: %s. It may have run at server %s.", l.text("status"), l.duration("after"), l.text("reason"), l.text("server"))
	return v + s.failedServer("send_failed", "stream_broken")
}

// brokenOff describes a response that ended early.
func (s *Result) brokenOff(l *Line) string {
	return fmt.Sprintf("Broken off by %s after %v, with %s events: %s. It was at server %s.", l.Node, l.duration("after"), l.text("events"), l.text("reason"), l.text("server")) +
		s.failedServer("stream_broken", "send_failed")
}

func (s *Result) callerLeft(l *Line) string {
	v := fmt.Sprintf("The caller left after %v, with %s events.", l.duration("after"), l.text("events"))
	if p := s.last("placed"); p != nil {
		return v + fmt.Sprintf(" It was placed at %s after %v.", p.text("server"), p.duration("waited"))
	}
	return v
}

// failedServer describes the server of the last failure, and the first event about that server
// other than a changed entry.
func (s *Result) failedServer(events ...string) string {
	for i := range slices.Backward(s.Lines) {
		l := &s.Lines[i]
		if !slices.Contains(events, l.Event) {
			continue
		}
		v := fmt.Sprintf(" Server %s failed after %v: %s.", l.text("server"), l.duration("after"), l.text("error"))
		for j := range s.Near {
			if n := &s.Near[j]; n.text("server") == l.text("server") && n.Event != "server_entry_changed" {
				return v + fmt.Sprintf(" At %s, %s: %s.", n.At.Format(clockLayout), n.Node, n.Event)
			}
		}
		return v
	}
	return ""
}

const clockLayout = "15:04:05.000"

// Text returns the result as text.
func (s *Result) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "request %s\n%s\n\nits lines:\n", s.Request, s.Verdict)
	for i := range s.Lines {
		s.Lines[i].write(&b)
	}
	if len(s.Near) > 0 {
		fmt.Fprintf(&b, "\nits nodes and servers, from %v before to %v after it:\n", window, window)
	}
	for i := range s.Near {
		s.Near[i].write(&b)
	}
	if len(s.Stages) > 0 {
		b.WriteString("\nstages at the nodes that wrote about it:\n")
	}
	for _, x := range s.Stages {
		fmt.Fprintf(&b, "  %s: %d calls, %d failed; %d pieces, %d made, %d without room; at most %d waited\n",
			x.Service, x.Batches, x.Failed, x.Tasks, x.Done, x.NoCapacity, x.MaxQueued)
	}
	return b.String()
}

// durationFields are the fields that hold seconds.
var durationFields = []string{"after", "waited", "retry_after", "took", "first_event", "away"}

func (l *Line) write(b *strings.Builder) {
	fmt.Fprintf(b, "  %s %s %s", l.At.Format(clockLayout), l.Node, l.Event)
	for _, k := range slices.Sorted(maps.Keys(l.Fields)) {
		switch {
		case k == "request":
		case slices.Contains(durationFields, k):
			fmt.Fprintf(b, " %s=%v", k, l.duration(k))
		default:
			fmt.Fprintf(b, " %s=%s", k, l.text(k))
		}
	}
	b.WriteByte('\n')
}
