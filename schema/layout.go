package schema

import (
	"bytes"
	"encoding/json"
	"fmt"
	"sort"
	"strings"
	"sync"
)

// keyOrder returns the position of each key in the declaration schema. A key of several
// objects, such as name, has its first position, which gives the right order in all.
var keyOrder = sync.OnceValues(func() (map[string]int, error) {
	r := map[string]int{}
	p, err := locate([]byte(declarationSchema))
	if err != nil {
		return nil, err
	}
	at := map[string]int64{}
	for path, o := range p.offset {
		outer, key, ok := cutLast(path, ".")
		if !ok || outer != "properties" && !strings.HasSuffix(outer, ".properties") {
			continue
		}
		if old, seen := at[key]; !seen || o < old {
			at[key] = o
		}
	}
	var l []string
	for k := range at {
		l = append(l, k)
	}
	sort.Slice(l, func(i, j int) bool { return at[l[i]] < at[l[j]] })
	for i, k := range l {
		r[k] = i
	}
	return r, nil
})

func cutLast(s, sep string) (before, after string, ok bool) {
	i := strings.LastIndex(s, sep)
	if i < 0 {
		return "", s, false
	}
	return s[:i], s[i+len(sep):], true
}

// format returns a declaration in readable form: keys in the order of the schema, and
// each entry of a section on its own line, so that line-based tools show which entry
// changed.
func format(compact []byte) ([]byte, error) {
	r, err := keyOrder()
	if err != nil {
		return nil, err
	}
	v, err := jsonValue(compact)
	if err != nil {
		return nil, err
	}
	w := &formatter{keyOrder: r}
	w.value(v, 0)
	w.b.WriteByte('\n')
	return w.b.Bytes(), w.err
}

type formatter struct {
	b        bytes.Buffer
	keyOrder map[string]int
	err      error
}

func (w *formatter) value(v any, depth int) {
	switch v := v.(type) {
	case map[string]any:
		w.object(v, depth)
	case []any:
		w.array(v, depth)
	default:
		w.scalar(v)
	}
}

func (w *formatter) scalar(v any) {
	e := json.NewEncoder(&w.b)
	e.SetEscapeHTML(false)
	if err := e.Encode(v); err != nil {
		w.err = fmt.Errorf("encode declaration: %w", err)
		return
	}
	w.b.Truncate(w.b.Len() - 1) // the newline that Encode adds
}

// object writes each key of the document on its own line, and other objects on one line.
func (w *formatter) object(m map[string]any, depth int) {
	l := make([]string, 0, len(m))
	for k := range m {
		l = append(l, k)
	}
	sort.Slice(l, func(i, j int) bool { return w.keyOrder[l[i]] < w.keyOrder[l[j]] })
	w.b.WriteByte('{')
	for i, k := range l {
		w.separate(i, depth == 0, 1)
		w.scalar(k)
		w.b.WriteString(": ")
		w.value(m[k], depth+1)
	}
	if depth == 0 {
		w.b.WriteByte('\n')
	}
	w.b.WriteByte('}')
}

func (w *formatter) array(l []any, depth int) {
	w.b.WriteByte('[')
	for i, v := range l {
		w.separate(i, true, depth+1)
		w.value(v, depth+1)
	}
	if len(l) > 0 {
		w.b.WriteByte('\n')
		w.b.WriteString(strings.Repeat("  ", depth))
	}
	w.b.WriteByte(']')
}

func (w *formatter) separate(i int, line bool, depth int) {
	switch {
	case i > 0 && line:
		w.b.WriteByte(',')
	case i > 0:
		w.b.WriteString(", ")
	}
	if line {
		w.b.WriteString("\n" + strings.Repeat("  ", depth))
	}
}
