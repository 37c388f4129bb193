package cli

import (
	"bytes"
	"encoding/base64"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"

	"github.com/alecthomas/kong"
	"github.com/matryer/is"

	"github.com/loomcleat/loomcleat/internal/golden"
)

// TestCommandsAndFlags guards against changes to commands and flags that scripts use.
func TestCommandsAndFlags(t *testing.T) {
	is := is.New(t)
	parser, err := kong.New(&commandLine{}, kong.Name("loomcleat"))
	is.NoErr(err)
	golden.Text(t, "commands.txt", []byte(golden.Commands(parser.Model.Node)))
}

// answers are the answers of a stub process at its control address, by path. ADDRESS is
// replaced by that address.
var answers = map[string]string{
	"/v1/status": `{"id":"booking-1","role":"node","region":"north","zone":"north-1","service":"booking","ready":true,"leaving":false,
"revisions":{"policy":7,"groups":3,"confirmed":true,"age":5,"proven":6},
"members":[{"id":"booking-1","ctl":"ADDRESS","trf":"10.0.0.1:7","reg":"north","zon":"north-1","svc":"booking","st":1,"inc":2},
{"id":"fares-1","ctl":"10.0.0.2:7","zon":"north-2","svc":"fares","st":1,"inc":2,"sta":2}],
"in_flight":4,"limit":20,"level":256,"claims":9}`,
	"/v1/tenants": `{"id":"booking-1","cut_off":true,"quotas":[{"tenant":"jones","rate":2,"burst":2.5,"admitted":8,"refused":770,"admit":0.01}]}`,
}

// tree is the policy document in the stub store.
const tree = `{"revision":2,"entries":{"/":{"retry_budget":2},"sales/cabins/booking":{"class":"critical","deadline":"2s"}},
"history":[{"id":"e-1","revision":2,"author":"ann","time":"2026-01-02T03:04:05Z","changes":[{"path":"/","key":"retry_budget","value":"2"},{"path":"sales","key":"class","unset":true}]}]}`

// TestOutputOfCommands guards against changes to output that operators and scripts read.
func TestOutputOfCommands(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/v1/kv/") {
			w.Header().Set("X-Consul-Index", "5")
			fmt.Fprintf(w, `[{"Key":"loomcleat/policy","Value":%q,"ModifyIndex":5}]`, base64.StdEncoding.EncodeToString([]byte(tree)))
			return
		}
		_, _ = io.WriteString(w, strings.ReplaceAll(answers[r.URL.Path], "ADDRESS", r.Host))
	}))
	defer server.Close()
	node, store := server.Listener.Addr().String(), server.URL
	const logs = "testdata/golden/"
	for file, command := range map[string][]string{
		"status.txt":          {"status", node},
		"status.json":         {"status", node, "--output", "json"},
		"tenants.txt":         {"tenants", node},
		"tenants.json":        {"tenants", node, "--output", "json"},
		"config-get.txt":      {"config", "get", "--store", store},
		"config-get.json":     {"config", "get", "--store", store, "--output", "json"},
		"config-resolve.txt":  {"config", "resolve", "--store", store, "booking", "POST", "/pay"},
		"config-resolve.json": {"config", "resolve", "--store", store, "booking", "POST", "/pay", "--output", "json"},
		"config-history.txt":  {"config", "history", "--store", store},
		"config-history.json": {"config", "history", "--store", store, "--output", "json"},
		"config-set.txt":      {"config", "set", "--store", store, "--dry-run", "sales", "deadline=3s", "class=bulk"},
		"config-set.json":     {"config", "set", "--store", store, "--dry-run", "sales", "deadline=3s", "--output", "json"},
		"config-unset.txt":    {"config", "unset", "--store", store, "--dry-run", "/", "retry_budget"},
		"explain.txt":         {"explain", "client1", logs + "entry.log", logs + "others.log"},
		"explain.json":        {"explain", "client1", logs + "entry.log", logs + "others.log", "--output", "json"},
		"explain-user.txt":    {"explain", "u1", logs + "entry.log", logs + "others.log"},
		"unknown-request.txt": {"explain", "nobody", logs + "entry.log"},
		"unknown-entry.txt":   {"config", "get", "--store", store, "sales/none"},
		"without-equals.txt":  {"config", "set", "--store", store, "sales", "deadline"},
	} {
		t.Run(file, func(t *testing.T) { golden.Text(t, file, outputOf(t, command)) })
	}
}

// outputOf runs a command as main does and returns its output and exit status.
func outputOf(t *testing.T, command []string) []byte {
	t.Helper()
	is := is.New(t)
	written, err := os.CreateTemp(t.TempDir(), "output")
	is.NoErr(err)
	out, failed := os.Stdout, os.Stderr
	os.Stdout, os.Stderr = written, written
	status := Run(command)
	os.Stdout, os.Stderr = out, failed
	is.NoErr(written.Close())
	text, err := os.ReadFile(written.Name())
	is.NoErr(err)
	folder, err := os.Getwd() // the output contains absolute file names
	is.NoErr(err)
	text = bytes.ReplaceAll(text, []byte(folder+"/"), nil)
	return fmt.Appendf(text, "exit status %d\n", status)
}
