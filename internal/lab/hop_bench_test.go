package lab

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"

	"github.com/loomcleat/loomcleat/policy"
	"github.com/loomcleat/loomcleat/settings"
)

// BenchmarkNode measures the cost of one inbound call at a node. The caller and the back
// end read and write fixed bytes, so that nearly all processor time and allocations are
// those of the node.
func BenchmarkNode(b *testing.B) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	highLimits := []policy.Change{{Path: "/", Key: "concurrency_min", Value: "100"}, {Path: "/", Key: "queue_time", Value: "5s"}}
	mesh, err := StartMesh(ctx, MeshConfig{Policy: highLimits})
	if err != nil {
		b.Fatal(err)
	}
	defer mesh.Close()
	s := mesh.settingsFor(settings.RoleNode)
	s.Service, s.Claims = "s", false
	s.Backend = serveFixed(b)
	node, err := mesh.open(s)
	if err != nil {
		b.Fatal(err)
	}
	if err := waitFor(ctx, "the node to be ready", node.Ready); err != nil {
		b.Fatal(err)
	}
	for _, callers := range []int{1, 32} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			b.ReportAllocs()
			var group sync.WaitGroup
			for caller := range callers {
				group.Go(func() { callFixed(b, node.TrafficAddress(), (b.N+callers-1-caller)/callers) })
			}
			group.Wait()
		})
	}
}

const fixedResponse = "HTTP/1.1 200 OK\r\nX-Response-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\nContent-Length: 600\r\n\r\n"

// serveFixed starts a server that answers every request with the same bytes, and returns
// its address.
func serveFixed(b *testing.B) (address string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = listener.Close() })
	response := []byte(fixedResponse + strings.Repeat("x", 600))
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go respondFixed(conn, response)
		}
	}()
	return listener.Addr().String()
}

func respondFixed(conn net.Conn, response []byte) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		line, err := reader.ReadSlice('\n')
		if err != nil {
			return
		}
		if len(bytes.TrimSpace(line)) > 0 {
			continue
		}
		if _, err := conn.Write(response); err != nil {
			return
		}
	}
}

// callFixed sends the given number of calls sequentially on one connection.
func callFixed(b *testing.B, address string, calls int) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		b.Error(err)
		return
	}
	defer conn.Close()
	request := []byte("GET /leny950/2f HTTP/1.1\r\nHost: s\r\nX-Attempt-Id: 9c41d07be2a35f68\r\nUser-Agent: \r\n" +
		"Loomcleat-Call: service=s,request=0123456789ab-1,attempt=0123456789ab-2,priority=512,left=1000000,hops=2,target=300\r\n\r\n")
	reader := bufio.NewReader(conn)
	for range calls {
		if _, err := conn.Write(request); err != nil {
			b.Error(err)
			return
		}
		if err := readFixed(reader); err != nil {
			b.Error(err)
			return
		}
	}
}

// readFixed reads one response of serveFixed, whose status must be 200.
func readFixed(reader *bufio.Reader) error {
	status, err := reader.ReadString('\n')
	if err != nil {
		return err
	}
	if !strings.Contains(status, " 200 ") {
		return fmt.Errorf("unexpected status line of the node: %q", status)
	}
	for {
		line, err := reader.ReadSlice('\n')
		if err != nil {
			return err
		}
		if len(bytes.TrimSpace(line)) == 0 {
			break
		}
	}
	_, err = io.CopyN(io.Discard, reader, 600)
	return err
}
