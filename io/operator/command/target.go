package command

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"bergamotspring/io/operator"
	"bergamotspring/schema/setting"
)

// target holds the flags of the node that a command calls.
type target struct {
	Operator  string        `env:"BERGAMOTSPRING_OPERATOR" default:"http://127.0.0.1:8082" placeholder:"URL" help:"Operator listener of any node. Default: ${default}."`
	TokenFile string        `env:"BERGAMOTSPRING_OPERATOR_TOKEN_FILE" placeholder:"PATH" help:"File with the operators' token. The environment variable BERGAMOTSPRING_OPERATOR_TOKEN may hold it instead."`
	CAFile    string        `env:"BERGAMOTSPRING_CA_FILE" placeholder:"PATH" help:"PEM certificates that sign the node's certificate. Default: those of the system."`
	Timeout   time.Duration `default:"10s" placeholder:"DURATION" help:"Longest wait for one answer, as a Go duration. Default: ${default}."`
}

func (t *target) client(a *App) (*operator.Client, error) {
	s, err := t.token(a)
	if err != nil {
		return nil, err
	}
	c := &operator.Client{URL: t.Operator, Token: s, HTTP: a.HTTP}
	if c.HTTP == nil {
		c.HTTP, err = t.http(a)
	}
	return c, err
}

func (t *target) token(a *App) (setting.Secret, error) {
	s := os.Getenv("BERGAMOTSPRING_OPERATOR_TOKEN")
	if t.TokenFile == "" {
		return setting.NewSecret(s), nil
	}
	if s != "" {
		return setting.Secret{}, &exitError{ExitUsage, errors.New("BERGAMOTSPRING_OPERATOR_TOKEN and --token-file are both set")}
	}
	b, err := a.readFile(t.TokenFile)
	return setting.NewSecret(strings.TrimRight(string(b), "\r\n")), err
}

func (t *target) http(a *App) (*http.Client, error) {
	h := &http.Client{Timeout: t.Timeout}
	if t.CAFile == "" {
		return h, nil
	}
	b, err := a.readFile(t.CAFile)
	if err != nil {
		return nil, err
	}
	p := x509.NewCertPool()
	if !p.AppendCertsFromPEM(b) {
		return nil, &exitError{ExitUsage, fmt.Errorf("%s holds no PEM certificate", t.CAFile)}
	}
	h.Transport = &http.Transport{TLSClientConfig: &tls.Config{RootCAs: p, MinVersion: tls.VersionTLS12}}
	return h, nil
}
