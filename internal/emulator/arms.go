package emulator

// Arm is one way of control that is compared.
type Arm struct {
	Name string
	Text string

	admission  bool // limits and queues beside back ends
	adaptive   bool // limits follow the back end; else fixed at its slots
	ordered    bool // by priority; else first come, first served
	early      bool // levels travel upstream and refuse at the door
	budget     int  // retries of a user request over the whole chain, -1: each hop retries on its own
	hopRetries int  // retries of each hop when there is no budget
	ratio      bool // retries bounded as a share of calls
	balance    bool // by observed load; else round robin
}

// Arms are the ways of control that are compared.
var Arms = []Arm{
	{Name: "none", Text: "no control: round robin, no retries", budget: 0},
	{Name: "naive", Text: "fixed limits at the number of connections and 3 retries at each hop", admission: true, budget: -1, hopRetries: 3},
	{Name: "per-hop", Text: "adaptive shedding at each hop on its own, 3 retries at each hop", admission: true, adaptive: true, ordered: true, budget: -1, hopRetries: 3, balance: true},
	{Name: "no-early", Text: "loomcleat without refusing at the door", admission: true, adaptive: true, ordered: true, budget: 3, ratio: true, balance: true},
	{Name: "loomcleat", Text: "the whole of loomcleat", admission: true, adaptive: true, ordered: true, early: true, budget: 3, ratio: true, balance: true},
}

// FindArm returns the arm with the given name.
func FindArm(name string) (Arm, bool) {
	for _, arm := range Arms {
		if arm.Name == name {
			return arm, true
		}
	}
	return Arm{}, false
}
