package backend

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"bergamotspring/core/stage"
	"bergamotspring/io/standin"
)

const cut = standin.Cut

// withResponses runs f with a client and a server that sends the responses in turn. Cancellations get
// none of them.
func withResponses(t *testing.T, f func(c *Client, responses chan<- string)) {
	responses := make(chan string, 2)
	s := standin.Script{Responses: responses, Answers: func(r *http.Request) bool { return r.Method != http.MethodDelete }}
	withListener(t, s.Serve, func(_ *testing.T, _ *standin.Network, c *Client) {
		f(c, responses)
		c.Close()
		close(responses)
	})
}

// framings returns a response in each framing.
func framings(status, body string) map[string]string {
	return standin.Framings("HTTP/1.1 "+status+"\r\nX-A: b\r\n", body)
}

func tokenEvent(id string, index int, last bool) string {
	end := "null"
	if last {
		end = `"stop"`
	}
	return fmt.Sprintf("data: {\"id\":%q,\"index\":%d,\"choices\":[{\"text\":\"t%d\",\"finish_reason\":%s}]}\n\n", id, index, index, end)
}

// completeTokens completes a call of three tokens.
func completeTokens(c *Client, id string, a *stage.Assembler) error {
	_, err := c.Complete(context.Background(), &Call{ID: id, Address: "s:80"}, &Completion{
		Prompt: []byte(`"x"`), MaxTokens: 3, FirstTimeout: time.Second, StallTimeout: time.Second,
		Token: func(int, []byte) error { return nil },
	}, a)
	return err
}

// A server closes the connection at any byte before the end of its response, on a new connection or one used
// before: no call takes it for whole, and a stream goes on with the tokens that are missing.
func TestCutResponse(t *testing.T) {
	const answer, load = `{"call_id":"c1","output":"o","end":true,"cold":false}`, `{"inflight":0,"cold":false}`
	tokens := tokenEvent("c1", 0, false) + tokenEvent("c1", 1, false) + tokenEvent("c1", 2, true) + "data: [DONE]\n\n"
	for _, kind := range []struct {
		body string
		call func(*Client) error
	}{
		{answer, func(c *Client) error {
			_, err := c.Invoke(context.Background(), &Call{ID: "c1", Address: "s:80"}, "op", []byte("1"))
			return err
		}},
		{load, func(c *Client) error { _, err := c.Load(context.Background(), "s:80"); return err }},
		{tokens, func(c *Client) error { return completeTokens(c, "c1", &stage.Assembler{}) }},
	} {
		for _, whole := range framings("200 OK", kind.body) {
			end := len(whole)
			if kind.body == tokens {
				end = strings.Index(whole, "[DONE]\n\n") + len("[DONE]\n\n")
			}
			withResponses(t, func(c *Client, responses chan<- string) {
				for n := range end {
					if n%2 == 0 { // on a connection used before
						responses <- framings("200 OK", load)["length"]
						if _, err := c.Load(context.Background(), "s:80"); err != nil {
							t.Errorf("the call before: %v", err)
						}
					}
					responses <- whole[:n] + cut
					if err := kind.call(c); err == nil {
						t.Errorf("cut after %q: no error", whole[:n])
					}
				}
				responses <- whole + cut
				if err := kind.call(c); err != nil {
					t.Errorf("%q: %v", whole, err)
				}
			})
		}
	}
}

// The next server of a stream that broke off answers with something else than the tokens that are due: nothing of
// it joins the stream, which goes on at another server.
func TestNextServerOfBrokenStreamFails(t *testing.T) {
	done := "data: [DONE]\n\n"
	for _, c := range []struct{ status, body string }{
		{"500 Internal Server Error", "no server\n\n"}, {"503 Service Unavailable", tokenEvent("c2", 1, true) + done},
		{"302 Found", "no server"}, {"200 OK", ""}, {"200 OK", "no server\n\n"}, {"200 OK", `{"error":"no server"}`}, {"200 OK", done},
		{"200 OK", "data: no server\n\n"}, {"200 OK", "event: error\ndata: {\"error\":\"no server\"}\n\n"},
		{"200 OK", "HTTP/1.1 500 Internal Server Error\r\n\r\nno server\n\n"},
		{"200 OK", tokenEvent("c1", 1, true) + done}, {"200 OK", tokenEvent("c2", 2, true) + done},
		{"200 OK", tokenEvent("c2", 0, false) + tokenEvent("c2", 1, true) + done},
	} {
		l := framings(c.status, c.body)
		l["no body"] = "HTTP/1.1 204 No Content\r\n\r\n"
		for _, fails := range l {
			withResponses(t, func(cl *Client, responses chan<- string) {
				var a stage.Assembler
				responses <- framings("200 OK", tokenEvent("c1", 0, false)+tokenEvent("c1", 1, false)[:9])["neither"] + cut
				first := completeTokens(cl, "c1", &a)
				responses <- fails + cut
				second := completeTokens(cl, "c2", &a)
				if first == nil || second == nil || string(a.Text) != "t0" || a.Next != 1 || a.Finished {
					t.Errorf("%q: got %v, then %v with %+v", fails, first, second, a)
				}
				time.Sleep(time.Millisecond) // the client observes that the connection is closed
				responses <- framings("200 OK", tokenEvent("c3", 1, false)+tokenEvent("c3", 2, true)+done)["neither"] + cut
				if err := completeTokens(cl, "c3", &a); err != nil || string(a.Text) != "t0t1t2" || !a.Done {
					t.Errorf("%q: got %v with %+v of the third server", fails, err, a)
				}
			})
		}
	}
}
