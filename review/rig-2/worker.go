package main

import (
	"flag"
	"fmt"
	"io"
	"log"
	"net/http"
	"os"
	"strings"
	"time"
)

// poison is what the body of a request contains that crashes each worker which begins to run it.
const poison = "crashes its worker"

// firstEvent is the time from the arrival of a request to its run at a worker without other requests.
const firstEvent = 40 * time.Millisecond

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
	go func() {
		e := entry{Service: "bergamot-llm", Address: *address, Zone: *zone, Version: "1", Slots: 96, State: "ready", Born: time.Now().UnixMilli()}
		for ; ; time.Sleep(heartbeat) {
			e.Sequence++
			if err := putEntry(*admin, *id, e); err != nil {
				log.Print(err)
			}
		}
	}()
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
		m.tell(id)
		os.Exit(1)
	}
	w.Header().Set("X-Bergamotspring-Server-Stamp", "stamp."+m.id+"."+id)
	w.Header().Set("Content-Type", "text/event-stream")
	for n := 1; n <= m.events; n++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %d\n\n", n, n)
		_ = http.NewResponseController(w).Flush() // the caller may have left
		time.Sleep(30 * time.Millisecond)
	}
}

// tell says that a poison request begins to run here.
func (m *plainModel) tell(request string) {
	r, err := http.Post("http://"+m.admin+"/crash?id="+m.id+"&request="+request, "text/plain", nil)
	if err == nil {
		_ = r.Body.Close() // nothing is in it
	}
}
