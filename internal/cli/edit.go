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

// editFlags are the flags of commands that edit the policy tree.
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
		return "unknown" // the user has no name, as in a container without /etc/passwd
	}
	return current.Username
}

// editOutcome is the outcome of an edit, as printed in JSON.
type editOutcome struct {
	Revision    uint64       `json:"revision"`
	Written     bool         `json:"written"`
	Differences []difference `json:"differences"`
	InForce     int          `json:"in_force"` // members with the revision in force; 0 without --node
	Members     int          `json:"members"`  // 0 without --node
}

// apply makes an edit and prints the resulting differences. It applies the edit to a copy
// first, so that an invalid edit writes nothing.
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

// difference is a resolved value that an edit changes.
type difference struct {
	Path   string `json:"path"`
	Key    string `json:"key"`
	Before string `json:"before"`
	After  string `json:"after"`
}

// differences lists the resolved values that differ, for each entry of both documents.
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
