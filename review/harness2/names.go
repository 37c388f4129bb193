package main

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"time"

	"github.com/loomcleat/loomcleat/review/harness"
)

//go:embed names.json
var namesFile []byte

// names are names of the users' protocol that package harness has no use for.
var names = readNames()

type protocolNames struct {
	Leaving string `json:"leaving"` // header of the answers of a back end that leaves
}

func readNames() (read protocolNames) {
	if err := json.Unmarshal(namesFile, &read); err != nil {
		panic(err)
	}
	return read
}

// requestHead returns the head of a request. extra are further fields, each with its end.
func requestHead(method, target, host, id string, remaining time.Duration, extra string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n%s\r\n",
		method, target, host, harness.Protocol.RequestID, id, harness.Protocol.Remaining, remaining.Milliseconds(), extra)
}
