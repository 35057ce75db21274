package explain

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"
)

// logLines returns a log line for each row, which holds seconds, node, event and fields.
func logLines(rows string) []Line {
	var b strings.Builder
	start := time.Date(2026, 6, 11, 10, 50, 0, 0, time.UTC)
	for row := range strings.Lines(rows) {
		var at float64
		var node, event, fields string
		f := strings.SplitN(strings.TrimSpace(row), " ", 4)
		if len(f) < 3 {
			continue
		}
		fmt.Sscan(f[0], &at)
		node, event = f[1], f[2]
		if len(f) == 4 {
			fields = "," + f[3]
		}
		t := start.Add(time.Duration(at * float64(time.Second))).Format(time.RFC3339Nano)
		fmt.Fprintf(&b, "  1.0 %s {\"level\":\"info\",\"at\":%q,\"msg\":%q,\"node\":%q%s}\n", node, t, event, node, fields)
	}
	l, err := Read(strings.NewReader(b.String()))
	if err != nil {
		panic(err)
	}
	return l
}

// The verdict names the cause that the lines contain.
func TestVerdict(t *testing.T) {
	for _, c := range []struct {
		name, log string
		want      []string
	}{
		{"answered", `1 n1 answered "request":"r","server":"s","status":200,"after":0.02`,
			[]string{"Answered by s with status 200 after 20ms."}},
		{"streamed", `1 n1 streamed "request":"r","server":"s","events":6,"first_event":0.5`,
			[]string{"Streamed whole by s, 6 events, the first after 500ms."}},
		{"refused for a short stage", `
			1 h stage_call "service":"x","pieces":8,"made":2,"no_room":6,"waiting":40,"end":0
			1 h stage_call "service":"y","pieces":8,"made":8,"waiting":3,"end":0
			2 h stage_call "service":"x","pieces":8,"made":0,"waiting":44,"end":1
			2 h place_refused "request":"r","reason":"too late","waited":1.5
			2 n1 refused "request":"r","reason":"too late","after":1.6`,
			[]string{"Refused by n1 after 1.6s: too late.", "The home h had kept it for 1.5s.",
				"Most pieces waited for x: 44 behind one call; of 16 pieces 2 were made, 6 found no room, and 1 of 2 calls failed."}},
		{"refused after servers rejected it", `
			1 n1 send_failed "request":"r","server":"s","not_run":true
			1 n1 refused "request":"r","reason":"not run by servers","after":0.1`,
			[]string{"No server ran it.", "Servers that it was sent to did not run it: 1."}},
		{"broken off as its server crashed", `
			1 n1 placed "request":"r","server":"s","waited":0.1
			2 n1 stream_broken "request":"r","server":"s","after":1,"error":"EOF"
			2 n2 server_crashed "server":"s"
			2 n1 broken_off "request":"r","server":"s","events":3,"after":1,"reason":"model servers failed"`,
			[]string{"Broken off by n1 after 1s, with 3 events: model servers failed. It was at server s.", "Server s failed after 1s: EOF.", "n2: server_crashed."}},
		{"unknown", `
			1 n1 send_failed "request":"r","server":"s","after":0.3,"error":"EOF","not_run":false
			1 n1 unknown "request":"r","server":"s","status":502,"after":0.3,"reason":"broken off"`,
			[]string{"Ended with status 502 after 300ms, which promises nothing: broken off. It may have run at server s."}},
		{"the caller left", `
			1 h placed "request":"r","server":"s","waited":0.25
			2 n1 caller_left "request":"r","events":2,"after":1`,
			[]string{"The caller left after 1s, with 2 events. It was placed at s after 250ms."}},
		{"its node was killed", `1 h placed "request":"r","server":"s"`, []string{"No line tells how it ended"}},
	} {
		s, err := Summarise(logLines(c.log), "r")
		if err != nil {
			t.Errorf("%s: %v", c.name, err)
			continue
		}
		for _, w := range c.want {
			if !strings.Contains(s.Verdict, w) {
				t.Errorf("%s: got %q, want in it %q", c.name, s.Verdict, w)
			}
		}
	}
}

// Only lines close to the request in time and about its nodes and servers are near it.
func TestNear(t *testing.T) {
	s, err := Summarise(logLines(`
		1 n1 store_lost "table":"op"
		9 n1 store_lost "table":"servers"
		9 n2 store_lost "table":"servers"
		9 n2 server_entry_gone "server":"s"
		9 n2 server_entry_gone "server":"other"
		10 n1 answered "request":"other"
		12 n1 unknown "request":"r","server":"s","after":2,"status":502
		13 n1 stop
		15 n1 start`), "r")
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, l := range s.Near {
		got = append(got, l.Node+" "+l.Event+" "+l.text("table")+l.text("server"))
	}
	want := "n1 store_lost servers, n2 server_entry_gone s, n1 stop "
	if g := strings.Join(got, ", "); g != want {
		t.Errorf("got %q, want %q", g, want)
	}
}

// Lines of other programs are skipped, and a request without lines is reported as not found.
func TestNoLines(t *testing.T) {
	l, err := Read(strings.NewReader("text\n{broken\n{\"msg\":\"no time\"}\n{\"at\":\"2026-06-11T10:50:43Z\",\"msg\":\"start\"}\n"))
	if err != nil || len(l) != 1 {
		t.Fatalf("got %d lines, %v, want one", len(l), err)
	}
	_, err = Summarise(l, "r")
	if e, ok := errors.AsType[*NotFoundError](err); !ok || e.Lines != 1 {
		t.Errorf("got %v, want that one line was read", err)
	}
	if _, err := Summarise(l, ""); err == nil {
		t.Error("an empty id is explained")
	}
}

func ExampleSummarise() {
	l, err := Read(strings.NewReader(`{"at":"2026-06-11T10:50:43Z","msg":"answered","node":"n","request":"r","server":"s","status":200,"after":0.02}`))
	if err != nil {
		panic(err)
	}
	s, err := Summarise(l, "r")
	if err != nil {
		panic(err)
	}
	fmt.Println(s.Verdict)
	// Output: Answered by s with status 200 after 20ms.
}
