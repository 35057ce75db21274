// Package command is the command line of bergamotspring.
//
// App holds what the commands need from outside, so that tests run them without
// a process. Each command prints its result as text or JSON to Out, and ends with
// one of the exit codes below.
package command

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/alecthomas/kong"

	"bergamotspring/io/operator"
	"bergamotspring/schema"
	"bergamotspring/schema/setting"
)

// Exit codes. They are part of the interface: scripts rely on them.
const (
	ExitOK           = 0
	ExitFailure      = 1   // anything without a code of its own
	ExitUsage        = 2   // wrong flags or settings
	ExitInvalid      = 3   // the declaration has faults
	ExitConflict     = 4   // another version came into force; nothing changed
	ExitUnreachable  = 5   // the node does not answer; nothing changed
	ExitUnauthorised = 6   // wrong or no operator token; nothing changed
	ExitPending      = 7   // accepted, but not yet in force on all reachable nodes
	ExitUnknown      = 8   // it is unknown whether the change took effect
	ExitUnavailable  = 9   // the table service cannot be reached; nothing changed
	ExitNotFound     = 10  // no such version, request, failure domain or server
	ExitDiffers      = 11  // diff --exit-code found changes
	ExitRefused      = 12  // needs --force (a pool would have no servers) or --stopped
	ExitSignal       = 130 // stopped at once by a second signal
)

const description = `Serves multi-stage model pipelines and plain services.

Exit codes: 0 done; 1 failure; 2 wrong flags or settings; 3 declaration has faults; 4 conflict with another version;
5 node does not answer; 6 wrong token; 7 accepted but not yet in force on all reachable nodes; 8 unknown whether it
took effect; 9 table service down; 10 not found; 11 diff --exit-code found changes; 12 refused without --force or --stopped;
130 stopped by a second signal. After 2 to 6, 9, 10 and 12 nothing changed.`

// App is the program without its surroundings. Out and Err have to be set.
type App struct {
	Out, Err io.Writer
	In       io.Reader // os.Stdin if nil
	Version  string
	Node     func(context.Context, setting.Node) error // runs until the context ends, then drains
	Edge     func(context.Context, EdgeOptions) error  // runs a node on the users' platform, as Node
	// CheckEdge checks settings or a configuration of the users' platform, and sums it up or
	// lists all faults.
	CheckEdge func(as string, b []byte) (summary string, faults []error)
	Demo      func(context.Context, io.Writer) error
	Standins  func(context.Context, io.Writer, Standins) error // runs until the context ends
	Load      func(context.Context, Load) (*Report, error)
	Signals   func() <-chan os.Signal      // catches SIGINT and SIGTERM from then on; nil: none
	Exit      func(int)                    // ends the process at once
	Now       func() time.Time             // time.Now if nil
	ReadFile  func(string) ([]byte, error) // os.ReadFile if nil
	HTTP      *http.Client                 // for the operator API; made from the flags if nil

	json bool
}

type cli struct {
	Output string `enum:"text,json" default:"text" short:"o" help:"Form of the result: text or json."`

	Node     nodeCmd     `cmd:"" help:"Run a node."`
	Edge     edgeCmd     `cmd:"" help:"Run a node on the users' platform."`
	Check    checkCmd    `cmd:"" help:"Check a declaration, or a file of the users' platform, and list all its faults."`
	Diff     diffCmd     `cmd:"" help:"Show what a declaration would change, and the capacity after."`
	Apply    applyCmd    `cmd:"" help:"Put a declaration in force and wait until all reachable nodes have it."`
	Export   exportCmd   `cmd:"" help:"Print the declaration in force, or an earlier version."`
	Domain   domainCmd   `cmd:"" help:"Take a failure domain out, or bring it back in."`
	Server   serverCmd   `cmd:"" help:"Take a backend server out, or bring it back in."`
	Group    groupCmd    `cmd:"" help:"Release a group whose home and deputy are both silent."`
	Status   statusCmd   `cmd:"" help:"Show nodes, homes, servers, permits, versions and exceptions."`
	Explain  explainCmd  `cmd:"" help:"Show why a request went where it went."`
	Settings settingsCmd `cmd:"" help:"Print the settings in force, with secrets masked."`
	Version  versionCmd  `cmd:"" help:"Print the version."`
	Demo     demoCmd     `cmd:"" help:"Run the main job against embedded stand-ins."`
	Standins standinsCmd `cmd:"" help:"Serve stand-ins of the platform and the backend servers on the loopback interface."`
	Load     loadCmd     `cmd:"" help:"Send requests at a steady rate and print what became of them."`
}

// codeError ends the program with a certain code.
type codeError struct {
	code int
	err  error
}

func (e *codeError) Error() string { return e.err.Error() }
func (e *codeError) Unwrap() error { return e.err }

// SettingsError reports settings with which a node cannot run.
type SettingsError struct {
	Cause error
}

func (e *SettingsError) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *SettingsError) Unwrap() error { return e.Cause }

// exited is what kong's help and usage exits panic with.
type exited int

// Main runs the command that args name and returns the exit code.
func (a *App) Main(args []string) (code int) {
	defer func() {
		if v := recover(); v != nil {
			e, ok := v.(exited)
			if !ok {
				panic(v)
			}
			code = int(e)
		}
	}()
	var c cli
	if err := c.prepare(); err != nil {
		return a.fail(err)
	}
	k, err := kong.New(&c, kong.Name("bergamotspring"), kong.Description(description), kong.Writers(a.Out, a.Err),
		kong.Exit(func(n int) { panic(exited(n)) }), kong.ConfigureHelp(kong.HelpOptions{Compact: true, WrapUpperBound: 110}))
	if err != nil {
		return a.fail(err)
	}
	x, err := k.Parse(args)
	if err != nil {
		return a.fail(&codeError{ExitUsage, fmt.Errorf("%w; see --help", err)})
	}
	a.json = c.Output == "json"
	if err := x.Run(a); err != nil {
		return a.fail(err)
	}
	return ExitOK
}

// prepare adds the flags of settings to the commands that take them.
func (c *cli) prepare() error {
	for _, s := range []*settingFlags{&c.Node.settingFlags, &c.Settings.settingFlags} {
		f, err := setting.NewFlags()
		if err != nil {
			return err
		}
		s.flags, s.Plugins = f, kong.Plugins{f.Plugin()}
	}
	return nil
}

func (a *App) fail(err error) int {
	n := codeOf(err)
	if a.json {
		b, _ := json.Marshal(map[string]any{"error": err.Error(), "exit_code": n}) // strings and numbers always encode
		fprintln(a.Err, string(b))
		return n
	}
	fprintln(a.Err, "bergamotspring: "+err.Error())
	return n
}

var exitOf = map[operator.Code]int{
	operator.CodeInvalid: ExitInvalid, operator.CodeConflict: ExitConflict,
	operator.CodeUnauthorised: ExitUnauthorised, operator.CodeUnavailable: ExitUnavailable,
	operator.CodeUnknown: ExitUnknown, operator.CodeNotFound: ExitNotFound,
	operator.CodeBadRequest: ExitUsage,
}

func codeOf(err error) int {
	var c *codeError
	var o *operator.Error
	var u *operator.UnreachableError
	var d *schema.Error
	var s *setting.Error
	var t *SettingsError
	switch {
	case errors.As(err, &c):
		return c.code
	case errors.As(err, &o) && exitOf[o.Code] != 0:
		return exitOf[o.Code]
	case errors.As(err, &u) && u.Sent:
		return ExitUnknown
	case errors.As(err, &u):
		return ExitUnreachable
	case errors.As(err, &d):
		return ExitInvalid
	case errors.As(err, &s), errors.As(err, &t):
		return ExitUsage
	}
	return ExitFailure
}

func (a *App) now() time.Time {
	if a.Now != nil {
		return a.Now()
	}
	return time.Now()
}

func (a *App) readFile(p string) ([]byte, error) {
	f := a.ReadFile
	if f == nil {
		f = os.ReadFile
	}
	b, err := f(p)
	if err != nil {
		return nil, &codeError{ExitUsage, err}
	}
	return b, nil
}

// open opens a file to read, or standard input for "-". The function ends the reading.
func (a *App) open(p string) (io.Reader, func(), error) {
	if p != "-" {
		f, err := os.Open(p)
		if err != nil {
			return nil, nil, &codeError{ExitUsage, err}
		}
		return f, func() { _ = f.Close() }, nil // it was only read
	}
	if a.In != nil {
		return a.In, func() {}, nil
	}
	return os.Stdin, func() {}, nil
}

// show prints a result in the form that was asked for.
func (a *App) show(v any, text func(io.Writer)) error {
	if !a.json {
		text(a.Out)
		return nil
	}
	e := json.NewEncoder(a.Out)
	e.SetEscapeHTML(false)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// fprintln writes a line; a terminal that is gone cannot be told so.
func fprintln(w io.Writer, a ...any) { _, _ = fmt.Fprintln(w, a...) }

func fprintf(w io.Writer, format string, a ...any) { _, _ = fmt.Fprintf(w, format, a...) }
