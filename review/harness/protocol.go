// Package harness runs the cases of the review: nodes as separate processes on loopback addresses,
// and stand-ins of the platform's store, of back ends and of clients, written from the users' pages.
package harness

import (
	_ "embed"
	"encoding/json"
)

// names are the names of the users' protocol.
type names struct {
	RequestID     string `json:"request_id"`
	Remaining     string `json:"remaining"`
	Expect        string `json:"expect"`
	Instance      string `json:"instance"`
	NotRun        string `json:"not_run"`
	Seal          string `json:"seal"`
	Era           string `json:"era"`
	ReadyPath     string `json:"ready_path"`
	InstancesPath string `json:"instances_path"`
	KeyPath       string `json:"key_path"`
	RangePath     string `json:"range_path"`
	WatchPath     string `json:"watch_path"`
	TxnPath       string `json:"txn_path"`
	ConfigKey     string `json:"config_key"`
}

//go:embed protocol.json
var protocolFile []byte

// Protocol holds the names of the users' protocol.
var Protocol = readProtocol()

func readProtocol() (read names) {
	if err := json.Unmarshal(protocolFile, &read); err != nil {
		panic(err)
	}
	return read
}
