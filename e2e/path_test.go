package e2e

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/loomcleat/loomcleat/internal/standin/backend"
	"github.com/loomcleat/loomcleat/result"
	"github.com/loomcleat/loomcleat/wire"
)

// chainGraph is a chain of four services. The second one makes two concurrent calls to the
// third.
var chainGraph = backend.Graph{
	"one":   {Routes: []backend.Route{{Match: "* /chain", Stages: [][]backend.Call{{chainCall("two", "POST")}}}}},
	"two":   {Routes: []backend.Route{{Match: "* /chain", Stages: [][]backend.Call{{chainCall("three", "POST"), chainCall("three", "GET")}}}}},
	"three": {Routes: []backend.Route{{Match: "* /chain", Stages: [][]backend.Call{{chainCall("four", "POST")}}}}},
	"four":  {},
}

func chainCall(service, method string) backend.Call {
	return backend.Call{Service: service, Method: method, Path: "/chain"}
}

// TestRequestsThroughFourHops checks forwarding, probes and the command line on a gateway and
// four nodes.
func TestRequestsThroughFourHops(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, chainGraph)
	c.writeSettings(fastSettings)
	for _, service := range []string{"one", "two", "three", "four"} {
		c.addNode(service)
	}
	gateway := c.addGateway()
	c.waitReady()

	t.Run("a chain with a parallel fan-out", func(t *testing.T) {
		is := is.New(t)
		got, err := call{gateway: gateway, service: "one", method: "POST", path: "/chain", header: map[string]string{backend.HeaderTag: "chain"}}.do()
		is.NoErr(err)
		is.Equal(got.status, 200)
		is.Equal(got.header.Get(backend.HeaderTag), "chain")
		counts := []int{}
		for _, node := range c.nodes {
			runs := 0
			for _, run := range node.backend.Runs() {
				if run.Tag == "chain" {
					runs++
				}
			}
			counts = append(counts, runs)
		}
		is.Equal(counts, []int{1, 1, 2, 2})
	})

	t.Run("request targets are forwarded unchanged", func(t *testing.T) {
		for _, path := range []string{"/", "//", "/a//b", "/a%2Fb", "/a/", "/a/../b", "/a?x=1&x=2&y=%20+", "/%E2%82%AC", "/a;b=c", "/a?"} {
			is := is.New(t)
			got, err := call{gateway: gateway, service: "four", method: "GET", path: path}.do()
			is.NoErr(err)
			is.Equal(got.header.Get(backend.HeaderSeenTarget), path)
		}
	})

	t.Run("methods and statuses are forwarded unchanged", func(t *testing.T) {
		for _, method := range []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS", "PURGE"} {
			for _, status := range []int{200, 201, 204, 301, 304, 404, 418, 500} {
				is := is.New(t)
				got, err := call{gateway: gateway, service: "four", method: method, path: "/x", header: map[string]string{backend.HeaderStatus: fmt.Sprint(status)}}.do()
				is.NoErr(err)
				is.Equal(got.status, status)
				is.Equal(got.header.Get(backend.HeaderSeenMethod), method)
			}
		}
	})

	t.Run("bodies", func(t *testing.T) {
		for _, size := range []int{0, 1, 1000, 64 << 10, 64<<10 + 1, 10 << 20} {
			for _, sized := range []bool{true, false} {
				is := is.New(t)
				sent := strings.Repeat("x", size)
				var body io.Reader = strings.NewReader(sent)
				if !sized {
					body = io.MultiReader(body) // unknown length
				}
				got, err := call{gateway: gateway, service: "four", method: "POST", path: "/echo", body: body}.do()
				is.NoErr(err)
				is.Equal(got.status, 200)
				is.True(got.body == sent)
			}
		}
	})

	t.Run("bodies stream in both directions", func(t *testing.T) {
		is := is.New(t)
		reader, writer := io.Pipe()
		request, err := http.NewRequest(http.MethodPut, "http://"+gateway.listen+"/echo", reader)
		is.NoErr(err)
		request.Host = "four"
		answers := make(chan *http.Response, 1)
		go func() {
			response, err := httpClient.Do(request)
			if err == nil {
				answers <- response
			}
		}()
		_, err = io.WriteString(writer, "first")
		is.NoErr(err)
		response := <-answers // the answer begins before the request body ends
		first := make([]byte, 5)
		_, err = io.ReadFull(response.Body, first)
		is.NoErr(err)
		is.Equal(string(first), "first")
		_, err = io.WriteString(writer, "second")
		is.NoErr(err)
		is.NoErr(writer.Close())
		rest, err := io.ReadAll(response.Body)
		is.NoErr(err)
		is.Equal(string(rest), "second")
		response.Body.Close()
	})

	t.Run("internal headers of callers are ignored and not returned", func(t *testing.T) {
		is := is.New(t)
		got, err := call{gateway: gateway, service: "four", method: "GET", path: "/x", header: map[string]string{
			wire.HeaderCall: "service=four,request=x,budget=30,priority=1023,claim=x", "Connection": "X-Hop", "X-Hop": "1",
		}}.do()
		is.NoErr(err)
		is.Equal(got.status, 200)
		for name := range got.header {
			is.True(!strings.HasPrefix(name, wire.Prefix))
		}
	})

	t.Run("an unknown service", func(t *testing.T) {
		is := is.New(t)
		got, err := call{gateway: gateway, service: "nowhere", method: "GET", path: "/"}.do()
		is.NoErr(err)
		is.Equal(got.status, 404)
		is.Equal(got.header.Get(result.HeaderCode), fmt.Sprint(int(result.UnknownService)))
		is.Equal(got.header.Get(result.HeaderOutcome), result.OutcomeNotRun)
	})

	t.Run("a truncated answer is an error", func(t *testing.T) {
		for _, chunked := range []string{"", "1"} {
			is := is.New(t)
			_, err := call{gateway: gateway, service: "four", method: "POST", path: "/x", header: map[string]string{
				backend.HeaderBytes: "100000", backend.HeaderCut: "1", backend.HeaderChunks: chunked,
			}}.do()
			is.True(err != nil)
		}
	})

	t.Run("metrics and probes", func(t *testing.T) {
		for _, path := range []string{"/metrics", "/livez", "/readyz"} {
			is := is.New(t)
			response, err := httpClient.Get("http://" + gateway.admin + path)
			is.NoErr(err)
			is.Equal(response.StatusCode, 200)
			response.Body.Close()
		}
	})

	t.Run("the command line", func(t *testing.T) {
		is := is.New(t)
		output, status := runCommand(t, "config", "set", "--store", c.url, "--node", gateway.control, "--wait", "30s", "--output", "json", "team/family/four", "deadline=3s")
		is.Equal(status, 0)
		is.True(strings.Contains(output, `"in_force": 5`))
		is.True(strings.Contains(output, `"after": "3s"`))
		output, status = runCommand(t, "config", "resolve", "--store", c.url, "four", "GET", "/x")
		is.Equal(status, 0)
		is.True(strings.Contains(output, "deadline=3s"))
		_, status = runCommand(t, "config", "set", "--store", c.url, "team/family/four", "deadline=3 parsecs")
		is.Equal(status, 1)
		_, status = runCommand(t, "config", "unset", "--store", c.url, "team/family/four")
		is.Equal(status, 0)
		output, status = runCommand(t, "config", "history", "--store", c.url)
		is.Equal(status, 0)
		is.True(strings.Contains(output, "deadline=3s"))
		output, status = runCommand(t, "status", gateway.control)
		is.Equal(status, 0)
		is.Equal(strings.Count(output, "ready"), 5)
	})

	is.True(!strings.Contains(gateway.log.String(), "panic"))
}

// TestStartErrors checks the exit status and the output of commands that cannot start.
func TestStartErrors(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	file := func(text string) string {
		path := filepath.Join(t.TempDir(), "settings.yaml")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	good := "listen: 127.0.0.1:0\ncontrol: 127.0.0.1:0\n"
	cases := []struct {
		name       string
		arguments  []string
		status     int
		wantOutput []string
	}{
		{"valid settings", []string{"gateway", "--check", "--config", file(good)}, 0, []string{"valid"}},
		{"unknown key", []string{"gateway", "--config", file(good + "colour: red\n")}, 2, []string{"settings.yaml:3", "colour", "allowed: id, region"}},
		{"wrong unit", []string{"gateway", "--config", file(good + "drain_timeout: 5 parsecs\n")}, 2, []string{"settings.yaml:3", "allowed: a number with a unit"}},
		{"out of range", []string{"gateway", "--config", file(good + "probe_interval: 1ms\n")}, 2, []string{"settings.yaml:3", "from 50ms to 1m0s"}},
		{"wrong type", []string{"gateway", "--config", file(good + "claim_groups: many\n")}, 2, []string{"settings.yaml:3"}},
		{"not YAML", []string{"gateway", "--config", file("listen: [\n")}, 2, []string{"settings.yaml"}},
		{"missing address", []string{"gateway"}, 2, []string{"--listen", "IP:port"}},
		{"service at a gateway", []string{"gateway", "--config", file(good + "service: x\n")}, 2, []string{"settings.yaml:3", "node"}},
		{"node without a back end", []string{"node", "--config", file(good + "service: x\n")}, 2, []string{"--backend"}},
		{"missing file", []string{"gateway", "--config", "/nowhere.yaml"}, 2, []string{"1001"}},
		{"port in use", []string{"gateway", "--listen", taken.Addr().String(), "--control", "127.0.0.1:0"}, 1, []string{"1002", "address-in-use"}},
		{"unknown flag", []string{"gateway", "--colour", "red"}, 2, []string{"1009"}},
		{"store down", []string{"config", "get", "--store", "http://127.0.0.1:1"}, 1, []string{"1003"}},
		{"unreachable process", []string{"status", "127.0.0.1:1"}, 1, []string{"1008"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			output, status := runCommand(t, c.arguments...)
			is.Equal(status, c.status)
			for _, want := range c.wantOutput {
				is.True(strings.Contains(output, want)) // the output contains the text
			}
		})
	}
}
