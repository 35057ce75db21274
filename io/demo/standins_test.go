package demo

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"bergamotspring/io/operator/command"
	"bergamotspring/schema"
)

// Guards against settings that a node rejects, a declaration that is invalid or does not
// have the addresses of the stand-ins, and secrets in the output.
func TestStandins(t *testing.T) {
	r, w := io.Pipe()
	ctx, cancel := context.WithCancel(t.Context())
	end := make(chan error, 1)
	s := command.Standins{Declaration: loadExample(t, "logwerk"), Dir: t.TempDir(), Nodes: 2, TLS: true}
	go func() {
		end <- Serve(ctx, w, s)
		_ = w.Close()
	}()
	var output strings.Builder
	for l := bufio.NewScanner(r); l.Scan() && !strings.HasPrefix(l.Text(), "serving"); {
		output.WriteString(l.Text() + "\n")
	}
	read := func(name string) []byte {
		b, err := os.ReadFile(filepath.Join(s.Dir, name))
		if err != nil {
			t.Error(err)
		}
		return b
	}
	d, err := schema.Decode("declaration.json", read("declaration.json"))
	if err != nil {
		t.Fatal(err)
	}
	if a, err := http.Get("http://" + d.Servers[0].Address + "/v1/load"); err != nil || a.Body.Close() != nil {
		t.Errorf("server %s: %v", d.Servers[0].Name, err)
	}
	for _, m := range regexp.MustCompile(`(?m)^export (\w+)='(.*)'$`).FindAllStringSubmatch(string(read("n2.env")), -1) {
		t.Setenv(m[1], m[2])
		if secret := strings.HasSuffix(m[1], "_KEY") || strings.HasSuffix(m[1], "_TOKEN"); secret && strings.Contains(output.String(), m[2]) {
			t.Errorf("%s is printed", m[1])
		}
	}
	var out bytes.Buffer
	a := &command.App{Out: &out, Err: &out}
	if got := a.Main([]string{"settings"}); got != command.ExitOK {
		t.Errorf("settings of n2: got exit %d, want 0\n%s", got, out.String())
	}
	cancel()
	if err := <-end; err != nil {
		t.Error(err)
	}
}
