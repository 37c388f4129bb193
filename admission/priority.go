package admission

import "github.com/cespare/xxhash/v2"

const (
	// prioritiesPerClass is the number of priorities in each class.
	prioritiesPerClass = 256
	classes            = 4
	MaximumPriority    = classes*prioritiesPerClass - 1
	// MaximumLevel is the level that refuses everything.
	MaximumLevel = MaximumPriority + 1
)

// Priority returns the priority of a user request. class is 0 (lowest) to 3, request
// identifies the user request.
func Priority(class int, request string) int {
	class = min(max(class, 0), classes-1)
	offset := int(xxhash.Sum64String(request) % prioritiesPerClass)
	return class*prioritiesPerClass + offset
}

// RankedPriority returns the priority of a user request by the class of its tenant first
// and the class of its route second, both 0 (lowest) to 3. All requests of a higher
// tenant class go before those of a lower one.
func RankedPriority(tenantClass, routeClass int, request string) int {
	const bands = classes * classes
	tenantClass = min(max(tenantClass, 0), classes-1)
	routeClass = min(max(routeClass, 0), classes-1)
	width := uint64((MaximumPriority + 1) / bands)
	offset := int(xxhash.Sum64String(request) % width)
	return (tenantClass*classes+routeClass)*int(width) + offset
}

// ClassOf returns the class of a priority.
func ClassOf(priority int) int { return priority / prioritiesPerClass }
