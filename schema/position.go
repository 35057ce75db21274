package schema

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"unicode/utf8"
)

// maxDepth bounds the nesting of documents; declarations need 5.
const maxDepth = 32

// positions maps each path of a document to the byte offset of its value or, for a
// member of an object, of its key.
type positions struct {
	text     []byte
	offset   map[string]int64
	problems []Problem
}

// locate finds the positions in a document. The error is the first syntax error; keys
// that occur twice are collected as problems, since encoding/json silently takes the last.
func locate(text []byte) (*positions, error) {
	p := &positions{text: text, offset: map[string]int64{}}
	d := json.NewDecoder(bytes.NewReader(text))
	d.UseNumber()
	if err := p.value(d, "", 0); err != nil {
		return p, err
	}
	_, err := d.Token()
	if errors.Is(err, io.EOF) {
		return p, nil
	}
	p.offset[""] = d.InputOffset()
	return p, errors.New("more text after the document")
}

func (p *positions) value(d *json.Decoder, path string, depth int) error {
	if depth > maxDepth {
		return fmt.Errorf("nested deeper than %d", maxDepth)
	}
	if _, seen := p.offset[path]; !seen {
		p.offset[path] = p.skip(d.InputOffset())
	}
	t, err := d.Token()
	if err != nil {
		return err
	}
	switch t {
	case json.Delim('{'):
		return p.object(d, path, depth)
	case json.Delim('['):
		return p.array(d, path, depth)
	}
	return nil
}

func (p *positions) object(d *json.Decoder, path string, depth int) error {
	seen := map[string]bool{}
	for d.More() {
		at := p.skip(d.InputOffset())
		t, err := d.Token()
		if err != nil {
			return err
		}
		k, _ := t.(string)
		q := k
		if path != "" {
			q = path + "." + k
		}
		if seen[k] && len(p.problems) < maxProblems {
			p.problems = append(p.problems, p.problemAt(at, q, "key occurs twice"))
		}
		seen[k] = true
		p.offset[q] = at
		if err := p.value(d, q, depth+1); err != nil {
			return err
		}
	}
	_, err := d.Token()
	return err
}

func (p *positions) array(d *json.Decoder, path string, depth int) error {
	for i := 0; d.More(); i++ {
		if err := p.value(d, path+"["+strconv.Itoa(i)+"]", depth+1); err != nil {
			return err
		}
	}
	_, err := d.Token()
	return err
}

// skip returns the offset of the next value or key after o.
func (p *positions) skip(o int64) int64 {
	for o < int64(len(p.text)) && bytes.IndexByte([]byte(" \t\r\n,:"), p.text[o]) >= 0 {
		o++
	}
	return o
}

// problemAt returns a problem at byte offset o. Columns count characters.
func (p *positions) problemAt(o int64, path, cause string) Problem {
	o = min(o, int64(len(p.text)))
	head := p.text[:o]
	line := bytes.Count(head, []byte("\n")) + 1
	col := utf8.RuneCount(head[bytes.LastIndexByte(head, '\n')+1:]) + 1
	return Problem{Line: line, Column: col, Path: path, Cause: cause}
}

// problemAtPath returns a problem at a path or, if the document lacks the path, at the
// innermost part of the document that encloses it.
func (p *positions) problemAtPath(path, cause string) Problem {
	for q := path; ; q = parent(q) {
		if o, ok := p.offset[q]; ok {
			return p.problemAt(o, path, cause)
		}
		if q == "" {
			return Problem{Path: path, Cause: cause}
		}
	}
}

func parent(path string) string {
	for i := len(path) - 1; i > 0; i-- {
		if path[i] == '.' || path[i] == '[' {
			return path[:i]
		}
	}
	return ""
}
