package policy_test

import (
	"fmt"
	"time"

	"github.com/loomcleat/loomcleat/policy"
)

func ExampleIndex_Resolve() {
	empty := &policy.Document{Entries: map[string]policy.Settings{}}
	document, err := empty.Apply("edit-1", "operator", time.Unix(0, 0), []policy.Change{
		{Path: "sales", Key: "deadline", Value: "2s"},
		{Path: "sales/cabins/booking POST /pay", Key: "class", Value: "critical"},
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	resolved := policy.NewIndex(document).Resolve("booking", "POST", "/pay")
	fmt.Println(resolved.Class, resolved.Deadline, resolved.Repeatable)
	// Output: critical 2s false
}
