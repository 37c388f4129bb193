package kernel

import (
	"hash/fnv"
	"strconv"
	"sync"
	"sync/atomic"
)

// executionShards is the number of shards of the table, each with its own lock.
const executionShards = 64

// executionTable holds the executions in progress by token and by request ID.
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

// add assigns a token to the execution and stores it.
func (t *executionTable) add(execution *Execution) {
	execution.Token = t.prefix + "." + strconv.FormatUint(t.next.Add(1), 36)
	t.put(execution.Token, execution)
	if execution.RequestID != "" {
		t.put(requestKey(execution.RequestID), execution)
	}
}

// requestKey returns the key of a request ID. The leading space keeps it distinct from
// tokens, which begin with the ID of the process.
func requestKey(requestID string) string { return " " + requestID }

func (t *executionTable) put(key string, execution *Execution) {
	shard := t.shard(key)
	shard.mutex.Lock()
	shard.byID[key] = execution
	shard.mutex.Unlock()
}

// remove deletes a finished execution.
func (t *executionTable) remove(execution *Execution) {
	t.drop(execution.Token, execution)
	if execution.RequestID != "" {
		t.drop(requestKey(execution.RequestID), execution)
	}
}

// drop deletes a key unless another execution has replaced this one.
func (t *executionTable) drop(key string, execution *Execution) {
	shard := t.shard(key)
	shard.mutex.Lock()
	if shard.byID[key] == execution {
		delete(shard.byID, key)
	}
	shard.mutex.Unlock()
}

// findRequest returns the execution with the given request ID, nil when there is none.
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
