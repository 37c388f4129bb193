package cli

import (
	"fmt"
	"os/user"
	"strings"
	"time"

	"github.com/loomcleat/loomcleat/policy"
	"github.com/loomcleat/loomcleat/policy/editor"
	"github.com/loomcleat/loomcleat/result"
)

type configSet struct {
	editFlags
	Path   string   `arg:"" help:"Entry: /, team, team/family, team/family/service, or 'team/family/service METHOD /path'."`
	Values []string `arg:"" help:"key=value, for example class=critical or deadline=2s."`
}

// Run sets keys.
func (c *configSet) Run(output *streams) error {
	changes := []policy.Change{}
	for _, pair := range c.Values {
		key, value, found := strings.Cut(pair, "=")
		if !found {
			return result.New(result.UsageInvalid, "%q must have the form key=value", pair)
		}
		changes = append(changes, policy.Change{Path: c.Path, Key: key, Value: value})
	}
	return c.apply(output, changes)
}

type configUnset struct {
	editFlags
	Path string   `arg:"" help:"Entry."`
	Keys []string `arg:"" optional:"" help:"Keys to remove; none: the whole entry."`
}

// Run unsets keys.
func (c *configUnset) Run(output *streams) error {
	changes := []policy.Change{}
	for _, key := range c.Keys {
		changes = append(changes, policy.Change{Path: c.Path, Key: key, Unset: true})
	}
	if len(changes) == 0 {
		changes = append(changes, policy.Change{Path: c.Path, Unset: true})
	}
	return c.apply(output, changes)
}

// editFlags are the flags of commands that edit.
type editFlags struct {
	storeFlags
	Author string        `help:"Name recorded with the edit. Default: the user's name."`
	DryRun bool          `help:"Check and show the differences; write nothing."`
	Node   string        `help:"Control address of any process: wait until all members have the edit in force."`
	Wait   time.Duration `help:"How long to wait for that." default:"5s"`
}

func (f *editFlags) author() string {
	if f.Author != "" {
		return f.Author
	}
	current, err := user.Current()
	if err != nil {
		return "unknown" // as in a container without a list of users; the edit itself is fine
	}
	return current.Username
}

// editOutcome is what an edit prints as JSON.
type editOutcome struct {
	Revision    uint64       `json:"revision"`
	Written     bool         `json:"written"`
	Differences []difference `json:"differences"`
	InForce     int          `json:"in_force"` // members that have it, with --node
	Members     int          `json:"members"`
}

// apply makes an edit and prints what it changed. The edit is tried on a copy first, so
// that one which is not acceptable writes nothing.
func (f *editFlags) apply(output *streams, changes []policy.Change) error {
	client, ctx, cancel := f.open()
	defer cancel()
	defer client.Close()
	before, _, err := editor.Read(ctx, client)
	if err != nil {
		return err
	}
	after, err := before.Apply("dry-run", f.author(), time.Now(), changes)
	if err != nil {
		return err
	}
	if f.DryRun {
		return f.print(output, editOutcome{Revision: before.Revision, Differences: differences(before, after)})
	}
	if after, err = editor.New(client, f.author()).Apply(ctx, changes); err != nil {
		return err
	}
	outcome := editOutcome{Revision: after.Revision, Written: true, Differences: differences(before, after)}
	if f.Node != "" {
		outcome.InForce, outcome.Members = waitInForce(f.Node, after.Revision, f.Wait)
	}
	return f.print(output, outcome)
}

func (f *editFlags) print(output *streams, outcome editOutcome) error {
	if f.Output == "json" {
		return printJSON(output.out, outcome)
	}
	for _, d := range outcome.Differences {
		fmt.Fprintf(output.out, "%s: %s %s -> %s\n", d.Path, d.Key, d.Before, d.After)
	}
	if !outcome.Written {
		fmt.Fprintln(output.out, "nothing was written")
		return nil
	}
	fmt.Fprintf(output.out, "revision %d is accepted\n", outcome.Revision)
	if outcome.Members > 0 {
		fmt.Fprintf(output.out, "in force in %d of %d processes\n", outcome.InForce, outcome.Members)
	}
	return nil
}

// difference is one value that resolves differently after an edit.
type difference struct {
	Path   string `json:"path"`
	Key    string `json:"key"`
	Before string `json:"before"`
	After  string `json:"after"`
}

// differences lists what resolves differently for each entry.
func differences(before, after *policy.Document) []difference {
	oldIndex, newIndex := policy.NewIndex(before), policy.NewIndex(after)
	paths := map[string]bool{}
	found := []difference{}
	for _, path := range append(before.Paths(), after.Paths()...) {
		if paths[path] {
			continue
		}
		paths[path] = true
		oldValues, newValues := oldIndex.Entry(path).Values(), newIndex.Entry(path).Values()
		for i := range oldValues {
			if oldValues[i].Value != newValues[i].Value {
				found = append(found, difference{path, oldValues[i].Key, oldValues[i].Value, newValues[i].Value})
			}
		}
	}
	return found
}
