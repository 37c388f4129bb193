package freeport

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"testing"

	"github.com/matryer/is"
)

// childVariable makes the test binary reserve addresses, print them and wait.
const childVariable = "FREEPORT_TEST_CHILD"

func TestMain(m *testing.M) {
	if os.Getenv(childVariable) == "" {
		os.Exit(m.Run())
	}
	own.next = sameStart
	for range childAddresses {
		address, err := Address()
		fmt.Println(address, err)
	}
	_, _ = bufio.NewReader(os.Stdin).ReadString('\n') // until the parent ends it
}

const (
	childAddresses = 100
	// sameStart is the offset at which all children begin to search.
	sameStart = 5000
)

// TestAddressesOfStoppedProcessesStayReserved guards against handing out the address of a process
// under test that is down for a while and needs it again.
func TestAddressesOfStoppedProcessesStayReserved(t *testing.T) {
	is := is.New(t)
	taken := map[string]bool{}
	for range 3 {
		for _, address := range startChild(t) {
			is.True(!taken[address])
			taken[address] = true
		}
	}
	own.next = sameStart
	for range childAddresses {
		address, err := Address()
		is.NoErr(err)
		is.True(!taken[address])
		taken[address] = true
	}
}

// startChild starts a process that reserves addresses and listens on none of them, and returns
// them. The process runs until the end of the test.
func startChild(t *testing.T) []string {
	t.Helper()
	is := is.New(t)
	child := exec.Command(os.Args[0])
	child.Env = append(os.Environ(), childVariable+"=1")
	input, err := child.StdinPipe()
	is.NoErr(err)
	output, err := child.StdoutPipe()
	is.NoErr(err)
	is.NoErr(child.Start())
	t.Cleanup(func() {
		_ = input.Close()
		_ = child.Wait()
	})
	addresses := []string{}
	lines := bufio.NewScanner(output)
	for len(addresses) < childAddresses && lines.Scan() {
		address := ""
		_, err := fmt.Sscan(lines.Text(), &address)
		is.NoErr(err)
		addresses = append(addresses, address)
	}
	is.Equal(len(addresses), childAddresses)
	return addresses
}

// TestReservationsOverlap guards against two processes whose searches meet at the same ports.
func TestReservationsOverlap(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	first, second := &reservations{folder: folder}, &reservations{folder: folder}
	taken := map[string]bool{}
	for range 50 {
		for _, r := range []*reservations{first, second} {
			address, err := r.reserve()
			is.NoErr(err)
			is.True(!taken[address])
			taken[address] = true
		}
	}
}

// TestUsedPortsAreSkipped guards against an address on which another program listens.
func TestUsedPortsAreSkipped(t *testing.T) {
	is := is.New(t)
	r := &reservations{folder: t.TempDir(), next: 11_000}
	address, err := r.reserve()
	is.NoErr(err)
	listener, err := net.Listen("tcp", address)
	is.NoErr(err)
	defer listener.Close()
	again := &reservations{folder: t.TempDir(), next: 11_000}
	other, err := again.reserve()
	is.NoErr(err)
	is.True(other != address)
}

// TestLocks guards against a port that is reserved twice, and against taking a folder that can't be
// written for one without free ports.
func TestLocks(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	r := &reservations{folder: folder}
	for offset := range 3 {
		lock, err := r.lock(firstPort + offset)
		is.NoErr(err)
		defer lock.Close()
		second, err := (&reservations{folder: folder}).lock(firstPort + offset)
		is.NoErr(err)
		is.True(second == nil)
	}
	unwritable := &reservations{folder: "/dev/null/ports"}
	_, err := unwritable.reserve()
	is.True(err != nil && !errors.Is(err, ErrNoFreePort))
}
