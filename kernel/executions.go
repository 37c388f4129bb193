package kernel

import (
	"hash/fnv"
	"strconv"
	"sync"
	"sync/atomic"
)

// executionShards spreads the lock of the table.
const executionShards = 64

// executionTable is the table of the requests that the back end is working on.
type executionTable struct {
	prefix string
	next   atomic.Uint64
	shards [executionShards]executionShard
}

type executionShard struct {
	mutex sync.Mutex
	byID  map[string]*Execution
}

func newExecutionTable(prefix string) *executionTable {
	table := &executionTable{prefix: prefix}
	for i := range table.shards {
		table.shards[i].byID = map[string]*Execution{}
	}
	return table
}

func (t *executionTable) shard(token string) *executionShard {
	digest := fnv.New32a()
	_, _ = digest.Write([]byte(token))
	return &t.shards[digest.Sum32()%executionShards]
}

// add gives the execution a token and enters it.
func (t *executionTable) add(execution *Execution) {
	execution.Token = t.prefix + "." + strconv.FormatUint(t.next.Add(1), 36)
	t.put(execution.Token, execution)
	if execution.RequestID != "" {
		t.put(requestKey(execution.RequestID), execution)
	}
}

// requestKey is the key of the caller's name for a request. It never equals a
// token, which begins with the id of the process.
func requestKey(requestID string) string { return " " + requestID }

func (t *executionTable) put(key string, execution *Execution) {
	shard := t.shard(key)
	shard.mutex.Lock()
	shard.byID[key] = execution
	shard.mutex.Unlock()
}

// remove ends an execution.
func (t *executionTable) remove(execution *Execution) {
	t.drop(execution.Token, execution)
	if execution.RequestID != "" {
		t.drop(requestKey(execution.RequestID), execution)
	}
}

// drop removes a key unless it stands for another execution by now.
func (t *executionTable) drop(key string, execution *Execution) {
	shard := t.shard(key)
	shard.mutex.Lock()
	if shard.byID[key] == execution {
		delete(shard.byID, key)
	}
	shard.mutex.Unlock()
}

// findRequest returns the execution of the request with the caller's name, nil
// when there is none.
func (t *executionTable) findRequest(requestID string) *Execution {
	return t.find(requestKey(requestID))
}

// find returns the execution with the given token, nil when there is none.
func (t *executionTable) find(token string) *Execution {
	shard := t.shard(token)
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	return shard.byID[token]
}
