// Package command implements the command line of bergamotspring.
//
// App holds the external dependencies of the commands, so that tests run them without
// a process. Each command prints its result as text or JSON to Out, and returns one of
// the exit codes below.
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

// Exit codes. Scripts rely on them, so they are part of the public interface.
const (
	ExitOK           = 0
	ExitFailure      = 1   // any error without a code of its own
	ExitUsage        = 2   // wrong flags or settings
	ExitInvalid      = 3   // the declaration has problems
	ExitConflict     = 4   // another version came into force; nothing changed
	ExitUnreachable  = 5   // the node does not respond; nothing changed
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

// App is the program without its external dependencies. Out and Err must be set.
type App struct {
	Out, Err io.Writer
	In       io.Reader // os.Stdin if nil
	Version  string
	Node     func(context.Context, setting.Node) error // runs until the context ends, then drains
	Edge     func(context.Context, EdgeOptions) error  // runs a node on the users' platform, as Node
	// CheckEdge checks settings or a configuration of the users' platform. It returns a
	// summary, or all problems.
	CheckEdge func(as string, b []byte) (summary string, problems []error)
	Demo      func(context.Context, io.Writer) error
	Standins  func(context.Context, io.Writer, Standins) error // runs until the context ends
	Load      func(context.Context, Load) (*Report, error)
	Signals   func() <-chan os.Signal      // starts to catch SIGINT and SIGTERM; nil: no signals
	Exit      func(int)                    // ends the process at once
	Now       func() time.Time             // time.Now if nil
	ReadFile  func(string) ([]byte, error) // os.ReadFile if nil
	HTTP      *http.Client                 // for the operator API; created from the flags if nil

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

// exitError is an error with an exit code.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }
func (e *exitError) Unwrap() error { return e.err }

// SettingsError reports settings with which a node cannot run.
type SettingsError struct {
	Cause error
}

func (e *SettingsError) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *SettingsError) Unwrap() error { return e.Cause }

// exitPanic is the panic value with the exit code of kong's help and usage exits.
type exitPanic int

// Main runs the command given by args and returns the exit code.
func (a *App) Main(args []string) (code int) {
	defer func() {
		if v := recover(); v != nil {
			e, ok := v.(exitPanic)
			if !ok {
				panic(v)
			}
			code = int(e)
		}
	}()
	var c cli
	if err := c.addSettingFlags(); err != nil {
		return a.fail(err)
	}
	parser, err := kong.New(&c, kong.Name("bergamotspring"), kong.Description(description), kong.Writers(a.Out, a.Err),
		kong.Exit(func(n int) { panic(exitPanic(n)) }), kong.ConfigureHelp(kong.HelpOptions{Compact: true, WrapUpperBound: 110}))
	if err != nil {
		return a.fail(err)
	}
	x, err := parser.Parse(args)
	if err != nil {
		return a.fail(&exitError{ExitUsage, fmt.Errorf("%w; see --help", err)})
	}
	a.json = c.Output == "json"
	if err := x.Run(a); err != nil {
		return a.fail(err)
	}
	return ExitOK
}

// addSettingFlags adds the flags of the settings to the commands that accept them.
func (c *cli) addSettingFlags() error {
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
	n := exitCodeOf(err)
	if a.json {
		b, _ := json.Marshal(map[string]any{"error": err.Error(), "exit_code": n}) // strings and numbers always encode
		fprintln(a.Err, string(b))
		return n
	}
	fprintln(a.Err, "bergamotspring: "+err.Error())
	return n
}

var exitCodes = map[operator.Code]int{
	operator.CodeInvalid: ExitInvalid, operator.CodeConflict: ExitConflict,
	operator.CodeUnauthorised: ExitUnauthorised, operator.CodeUnavailable: ExitUnavailable,
	operator.CodeUnknown: ExitUnknown, operator.CodeNotFound: ExitNotFound,
	operator.CodeBadRequest: ExitUsage,
}

func exitCodeOf(err error) int {
	var c *exitError
	var o *operator.Error
	var u *operator.UnreachableError
	var d *schema.Error
	var s *setting.Error
	var t *SettingsError
	switch {
	case errors.As(err, &c):
		return c.code
	case errors.As(err, &o) && exitCodes[o.Code] != 0:
		return exitCodes[o.Code]
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
		return nil, &exitError{ExitUsage, err}
	}
	return b, nil
}

// open opens a file for reading, or standard input for "-". The returned function closes
// the file.
func (a *App) open(p string) (io.Reader, func(), error) {
	if p != "-" {
		f, err := os.Open(p)
		if err != nil {
			return nil, nil, &exitError{ExitUsage, err}
		}
		return f, func() { _ = f.Close() }, nil // the file was only read
	}
	if a.In != nil {
		return a.In, func() {}, nil
	}
	return os.Stdin, func() {}, nil
}

// show prints a result in the requested output format.
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

// fprintln writes a line. It ignores write errors, which cannot be reported if the
// terminal is gone.
func fprintln(w io.Writer, a ...any) { _, _ = fmt.Fprintln(w, a...) }

func fprintf(w io.Writer, format string, a ...any) { _, _ = fmt.Fprintf(w, format, a...) }
