package schema

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sort"
	"strings"

	"bergamotspring/core/fleet"
	"bergamotspring/schema/declared"
)

// MaxDocument is the maximum size of a declaration in bytes, before compression. A
// declaration of the target size, 920 servers, takes less than 200 KiB.
const MaxDocument = 8 << 20

// maxProblems bounds the problems listed from each of the three checks (repeated keys,
// schema, fleet.Validate), since finding the position of each takes a pass over the
// document.
const maxProblems = 1000

// Decode reads and checks a declaration. The error is an *Error that lists all
// problems with their positions in file: those of syntax, of the schema and of
// fleet.Validate.
func Decode(file string, text []byte) (*fleet.Declaration, error) {
	if len(text) > MaxDocument {
		return nil, &Error{Problems: []Problem{{File: file, Cause: fmt.Sprintf("longer than %d bytes", MaxDocument)}}}
	}
	p, err := locate(text)
	if err != nil {
		f := p.problemAt(syntaxOffset(p, err, text), "", err.Error())
		return nil, newError(file, []Problem{f})
	}
	s, err := compiledDeclaration()
	if err != nil {
		return nil, err
	}
	v, err := jsonValue(text)
	if err != nil {
		return nil, newError(file, []Problem{p.problemAt(0, "", err.Error())})
	}
	problems := p.problems
	for _, f := range truncated(validate(s, v)) {
		problems = append(problems, p.problemAtPath(f.Path, f.Cause))
	}
	var w declared.Declaration
	// On a type error, Unmarshal still fills in the rest. The schema reports most type
	// errors, but not 2.0 and numbers too large for an int.
	var e *json.UnmarshalTypeError
	if errors.As(json.Unmarshal(text, &w), &e) && len(problems) == 0 {
		problems = append(problems, p.problemAt(e.Offset, "", "a "+e.Value+" does not fit "+e.Field))
	}
	d, invalid := toFleet(&w)
	problems = append(problems, validationProblems(p, d, append(problems, invalid...))...)
	if len(problems) > 0 {
		return nil, newError(file, problems)
	}
	return d, nil
}

// validationProblems returns the problems that fleet.Validate finds beyond the known ones.
func validationProblems(p *positions, d *fleet.Declaration, known []Problem) []Problem {
	var l []Problem
	var e *fleet.InvalidError
	if !errors.As(d.Validate(), &e) {
		return nil
	}
	for _, q := range truncated(e.Problems) {
		if !reported(q.Path, known) {
			l = append(l, p.problemAtPath(q.Path, q.Cause))
		}
	}
	return l
}

func truncated[T any](l []T) []T { return l[:min(len(l), maxProblems)] }

// reported reports whether a problem is known at path, inside it or around it: what
// Validate finds there may be a mere consequence.
func reported(path string, known []Problem) bool {
	for _, f := range known {
		if f.Path == "" {
			continue
		}
		if within(path, f.Path) || within(f.Path, path) {
			return true
		}
	}
	return false
}

func within(path, outer string) bool {
	r, ok := strings.CutPrefix(path, outer)
	return ok && (r == "" || r[0] == '.' || r[0] == '[')
}

func syntaxOffset(p *positions, err error, text []byte) int64 {
	var s *json.SyntaxError
	if errors.As(err, &s) {
		return max(s.Offset-1, 0)
	}
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return int64(len(text))
	}
	return p.offset[""]
}

func newError(file string, l []Problem) *Error {
	for i := range l {
		l[i].File = file
	}
	sort.SliceStable(l, func(i, j int) bool {
		if l[i].Line != l[j].Line {
			return l[i].Line < l[j].Line
		}
		return l[i].Column < l[j].Column
	})
	return &Error{Problems: l}
}

// Pack returns the form stored in the table: the canonical text with gzip. Equal
// declarations give equal bytes.
func Pack(d *fleet.Declaration) ([]byte, error) {
	t, err := Encode(d)
	if err != nil {
		return nil, err
	}
	var b bytes.Buffer
	z, err := gzip.NewWriterLevel(&b, gzip.BestCompression)
	if err != nil {
		return nil, err
	}
	if _, err := z.Write(t); err != nil {
		return nil, err
	}
	if err := z.Close(); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

// Unpack reads the stored form. It checks with fleet.Validate but ignores unknown
// fields, so that a node of an older release still accepts what newer nodes stored.
func Unpack(b []byte) (*fleet.Declaration, error) {
	z, err := gzip.NewReader(bytes.NewReader(b))
	if err != nil {
		return nil, fmt.Errorf("stored declaration: %w", err)
	}
	t, err := io.ReadAll(io.LimitReader(z, MaxDocument+1))
	if err != nil {
		return nil, fmt.Errorf("stored declaration: %w", err)
	}
	if len(t) > MaxDocument {
		return nil, fmt.Errorf("stored declaration: longer than %d bytes", MaxDocument)
	}
	var w declared.Declaration
	if err := json.Unmarshal(t, &w); err != nil {
		return nil, fmt.Errorf("stored declaration: %w", err)
	}
	d, invalid := toFleet(&w)
	if len(invalid) > 0 {
		return nil, newError("stored declaration", invalid)
	}
	if err := d.Validate(); err != nil {
		return nil, fmt.Errorf("stored declaration: %w", err)
	}
	return d, nil
}
