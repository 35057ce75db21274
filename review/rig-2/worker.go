package main

import (
	"flag"
	"io"
	"log"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"
)

// poison is what the body of a request contains that crashes each worker which begins to run it.
const poison = "crashes its worker"

// firstEvent is the time from the arrival of a request to its run at a worker without other requests.
const firstEvent = 40 * time.Millisecond

// eventGap is the time between two events.
const eventGap = 30 * time.Millisecond

// plainModel is a model worker in a process of its own, without stages. It ends when it begins to run a poison request.
type plainModel struct {
	id, admin string
	events    int
}

// serveModel runs a model worker until it crashes or is killed.
func serveModel(args []string) {
	f := flag.NewFlagSet("model", flag.ExitOnError)
	id := f.String("id", "", "id of the worker")
	zone := f.String("zone", "", "its zone")
	address := f.String("address", "", "where it listens")
	admin := f.String("admin", "", "where it writes its entry and what it runs")
	_ = f.Parse(args) // exits on errors
	go sendEntries(*admin, *id, entry{Service: "bergamot-llm", Address: *address, Zone: *zone, Version: "1", Slots: 96, State: "ready", Born: time.Now().UnixMilli()})
	log.Fatal(http.ListenAndServe(*address, &plainModel{id: *id, admin: *admin, events: 10}))
}

// ServeHTTP serves a request.
func (m *plainModel) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("X-Bergamotspring-Request-Id")
	w.Header().Set("X-Bergamotspring-Request-Id", id)
	if e := r.Header.Get("X-Bergamotspring-Expect-Instance"); e != "" && e != m.id {
		notRun(w, http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/report" {
		reply(w, map[string]any{"stage": "both", "queued": 0, "running": 0, "kv-used": 0, "kv-total": 235284})
		return
	}
	time.Sleep(firstEvent)
	if strings.Contains(string(body), poison) {
		_ = tell(m.admin, "/crash", url.Values{"id": {m.id}, "request": {id}}, nil) // the case counts what it was told
		os.Exit(1)
	}
	tellLine(m.admin, m.id, "runs request "+id)
	ctx, cancel := limited(r)
	defer cancel()
	sendEvents(ctx, w, "stamp."+m.id+"."+id, 1, m.events, eventGap)
}
