package schema

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"bergamotspring/core/fleet"
)

var update = flag.Bool("update", false, "rewrite the golden files")

func read(t testing.TB, file string) []byte {
	t.Helper()
	b, err := os.ReadFile(filepath.FromSlash(file))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// Guards against an invalid declaration that is accepted, and against an error that
// hides others or has no position.
func TestDecodeInvalid(t *testing.T) {
	l, err := filepath.Glob("testdata/wrong/*.json")
	if err != nil || len(l) == 0 {
		t.Fatal("no cases", err)
	}
	for _, f := range l {
		t.Run(filepath.Base(f), func(t *testing.T) {
			_, err := Decode(filepath.Base(f), read(t, f))
			if err == nil {
				t.Fatal("accepted")
			}
			g := f[:len(f)-len(".json")] + ".golden"
			got := err.Error() + "\n"
			if *update {
				if err := os.WriteFile(g, []byte(got), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			if want := string(read(t, g)); got != want {
				t.Errorf("got:\n%s\nwant:\n%s", got, want)
			}
		})
	}
}

// Guards against a schema that does not compile, which editors reject.
func TestSchemasCompile(t *testing.T) {
	for _, f := range []string{"declaration", "settings", "operator", "messages"} {
		if _, err := compile(f, string(read(t, f+".schema.json"))); err != nil {
			t.Error(err)
		}
	}
}

// storeAndLoad returns the stored form of a declaration and what is read from it, which must be the same.
func storeAndLoad(t *testing.T, d *fleet.Declaration) ([]byte, *fleet.Declaration) {
	t.Helper()
	b, err := Pack(d)
	if err != nil {
		t.Fatal(err)
	}
	e, err := Unpack(b)
	if err != nil {
		t.Fatal(err)
	}
	if got := fleet.Diff(d, e); len(got) > 0 {
		t.Errorf("%s: changed by storage: %v", d.Name, got)
	}
	return b, e
}

// Guards against a field that one direction of the codec omits, and against a stored
// form that differs between two encodings of one declaration.
func TestExamplesRoundTrip(t *testing.T) {
	for _, n := range []string{"logwerk", "ferrando"} {
		d, err := Decode(n, read(t, "../examples/"+n+".json"))
		if err != nil {
			t.Fatal(err)
		}
		b, e := storeAndLoad(t, d)
		c, err := Pack(e)
		if err != nil || !bytes.Equal(b, c) {
			t.Errorf("%s: two encodings differ (error %v)", n, err)
		}
	}
}

// Guards against a stored form that expands without bound or makes Unpack panic.
func TestUnpackRejects(t *testing.T) {
	big := &fleet.Declaration{Name: string(bytes.Repeat([]byte("a"), MaxDocument+1))}
	p, err := Pack(big)
	if err != nil {
		t.Fatal(err)
	}
	for _, b := range [][]byte{nil, []byte("x"), p, p[:len(p)/2]} {
		if _, err := Unpack(b); err == nil {
			t.Errorf("accepted %d bytes", len(b))
		}
	}
}

// Guards against a document that makes the decoder panic, or that is accepted but
// changed by storage.
func FuzzDecode(f *testing.F) {
	f.Add(read(f, "../examples/logwerk.json"))
	f.Add(read(f, "testdata/wrong/names.json"))
	f.Add(read(f, "testdata/wrong/types.json"))
	f.Add([]byte(`[[[[`))
	f.Fuzz(func(t *testing.T, b []byte) {
		d, err := Decode("fuzz", b)
		if err != nil {
			return
		}
		storeAndLoad(t, d)
	})
}

// targetDeclaration returns a declaration of the target fleet size: 920 servers,
// 560 organisations, 10 failure domains, 10 pipelines of 5 stages.
func targetDeclaration() *fleet.Declaration {
	d := &fleet.Declaration{Name: "target", Defaults: fleet.Defaults{MaxCall: 10e9, Deadline: 4e9, RetryShare: 0.1, WeightsPerMin: 6}}
	for i := range 3 {
		d.Regions = append(d.Regions, fleet.Region{Name: fmt.Sprintf("region-%d", i)})
	}
	for i := range 10 {
		d.Domains = append(d.Domains, fleet.FailureDomain{Name: fmt.Sprintf("domain-%d", i), Region: fmt.Sprintf("region-%d", i%3)})
	}
	for i := range 15 {
		p := fleet.Pool{Name: fmt.Sprintf("pool-%d", i), Protocol: fleet.ProtocolJSON, Limit: 16, ColdLimit: 2, ColdFactor: 3, Expect: 30e6}
		if i < 7 {
			p.Protocol, p.Model = fleet.ProtocolEngine, fmt.Sprintf("model-%d", i)
		}
		d.Pools = append(d.Pools, p)
	}
	for i := range 920 {
		d.Servers = append(d.Servers, fleet.BackendServer{
			Name: fmt.Sprintf("server-%d", i), Pool: fmt.Sprintf("pool-%d", i%15), Domain: fmt.Sprintf("domain-%d", i/15%10),
			Address: fmt.Sprintf("10.0.%d.%d:8000", i/250, i%250+1), VM: fmt.Sprintf("vm-%d", i),
		})
	}
	for i := range 10 {
		p := fleet.Pipeline{Name: fmt.Sprintf("pipeline-%d", i)}
		for j, k := range []fleet.StageKind{fleet.Encode, fleet.Retrieve, fleet.Rerank, fleet.Rerank} {
			p.Stages = append(p.Stages, fleet.Stage{Name: fmt.Sprintf("stage-%d", j), Kind: k, Pool: fmt.Sprintf("pool-%d", 7+j)})
		}
		p.Stages = append(p.Stages, fleet.Stage{Name: "text", Kind: fleet.Generate, Pool: fmt.Sprintf("pool-%d", i%7), MaxTokens: 300})
		d.Pipelines = append(d.Pipelines, p)
	}
	for i := range 560 {
		d.Organisations = append(d.Organisations, fleet.Organisation{Name: fmt.Sprintf("organisation-%d", i), Weight: 1 + i%4})
	}
	return d
}

// BenchmarkDeclaration measures what a node does for each new version (unpack, validate,
// index) and what an operator's command does (decode with schema and positions).
func BenchmarkDeclaration(b *testing.B) {
	d := targetDeclaration()
	text, err := Encode(d)
	if err != nil {
		b.Fatal(err)
	}
	p, err := Pack(d)
	if err != nil {
		b.Fatal(err)
	}
	b.Run("unpack_validate_view", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			e, err := Unpack(p)
			if err != nil {
				b.Fatal(err)
			}
			fleet.NewView(e, 1)
		}
		b.ReportMetric(float64(len(text)), "text_bytes")
		b.ReportMetric(float64(len(p)), "gzip_bytes")
	})
	b.Run("decode", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if _, err := Decode("target", text); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("pack", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if _, err := Pack(d); err != nil {
				b.Fatal(err)
			}
		}
	})
}
