package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"regexp"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"storage-gateway": main})
}

// The scripts run the shipped examples as a user would, on ports that are free here.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata", Deadline: time.Now().Add(90 * time.Second),
		Setup: func(e *testscript.Env) error {
			files, err := filepath.Glob("../../examples/*.lisp")
			if err != nil || len(files) == 0 {
				return fmt.Errorf("no examples: %v", err)
			}
			ports, held := map[string]string{}, []net.Listener{}
			addr := regexp.MustCompile(`127\.0\.0\.1:7\d+`)
			for _, f := range files {
				data, err := os.ReadFile(f)
				if err != nil {
					return err
				}
				for _, old := range addr.FindAllString(string(data), -1) {
					if ports[old] == "" {
						ln, err := listenBelowEphemeralPorts()
						if err != nil {
							return err
						}
						held = append(held, ln)
						ports[old] = ln.Addr().String()
					}
				}
				text := addr.ReplaceAllStringFunc(string(data), func(old string) string { return ports[old] })
				text = regexp.MustCompile(`/tmp/landingpaddle`).ReplaceAllString(text,
					e.WorkDir+"/landingpaddle")
				if err := os.WriteFile(filepath.Join(e.WorkDir, filepath.Base(f)), []byte(text),
					0o644); err != nil {
					return err
				}
			}
			for _, ln := range held {
				ln.Close()
			}
			e.Setenv("INSTANCE", ports["127.0.0.1:7120"])
			return nil
		}, Cmds: map[string]func(*testscript.TestScript, bool, []string){"reach": reach}})
}

// listenBelowEphemeralPorts listens on a free port that the system gives to no outgoing connection: one that
// it gives away may be taken by a test that runs beside this before the script's own process listens on it.
func listenBelowEphemeralPorts() (ln net.Listener, err error) {
	const first, last, tries = 10_000, 30_000, 100
	for range tries {
		port := first + rand.IntN(last-first)
		if ln, err = net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", port)); err == nil {
			return ln, nil
		}
	}
	return nil, err
}

// reach waits until something listens at an address.
func reach(ts *testscript.TestScript, _ bool, args []string) {
	for range 200 {
		if c, err := net.Dial("tcp4", args[0]); err == nil {
			c.Close()
			return
		}
		ts.Check(ts.Exec("sleep", "0.05"))
	}
	ts.Fatalf("nobody listens at %s", args[0])
}
