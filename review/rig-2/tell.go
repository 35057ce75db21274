package main

import (
	"bytes"
	"encoding/json"
	"log"
	"net/http"
	"net/url"
	"time"
)

// sendEntries writes the entry of a worker in a process of its own each heartbeat.
func sendEntries(admin, id string, e entry) {
	for ; ; time.Sleep(heartbeat) {
		e.Sequence++
		b, err := json.Marshal(e)
		if err == nil {
			err = tell(admin, "/entry", url.Values{"id": {id}}, b)
		}
		if err != nil {
			log.Print(err)
		}
	}
}

// tellLine writes a line of a worker into the record.
func tellLine(admin, id, text string) {
	if err := tell(admin, "/line", url.Values{"id": {id}, "text": {text}}, nil); err != nil {
		log.Print(err)
	}
}

// tell sends what a worker says to the process of the case.
func tell(admin, path string, q url.Values, body []byte) error {
	r, err := http.Post("http://"+admin+path+"?"+q.Encode(), "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	return r.Body.Close()
}
