package admission

import "github.com/cespare/xxhash/v2"

// Priorities: a class has prioritiesPerClass of them.
const (
	prioritiesPerClass = 256
	classes            = 4
	MaximumPriority    = classes*prioritiesPerClass - 1
	// MaximumLevel refuses everything.
	MaximumLevel = MaximumPriority + 1
)

// Priority returns the priority of a user request: class is 0 (lowest) to 3,
// request identifies the user request.
func Priority(class int, request string) int {
	class = min(max(class, 0), classes-1)
	spread := int(xxhash.Sum64String(request) % prioritiesPerClass)
	return class*prioritiesPerClass + spread
}

// ClassOf returns the class of a priority.
func ClassOf(priority int) int { return priority / prioritiesPerClass }
