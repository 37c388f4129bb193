package golden

import (
	"fmt"
	"strings"

	"github.com/alecthomas/kong"
)

// Commands lists the commands of a program with their arguments and flags, without help
// texts.
func Commands(node *kong.Node) string {
	list := &strings.Builder{}
	addCommand(list, node)
	return list.String()
}

func addCommand(list *strings.Builder, node *kong.Node) {
	fmt.Fprintln(list, node.FullPath())
	for _, argument := range node.Positional {
		fmt.Fprintf(list, "  %s required=%t %s\n", argument.Name, argument.Required, argument.Target.Type())
	}
	for _, flag := range node.Flags {
		fmt.Fprintf(list, "  --%s required=%t default=%q enum=%q env=%q short=%q negatable=%t %s\n", flag.Name, flag.Required,
			flag.Default, flag.Enum, flag.Envs, shortOf(flag), flag.Tag.Negatable != "", flag.Target.Type())
	}
	for _, child := range node.Children {
		addCommand(list, child)
	}
}

func shortOf(flag *kong.Flag) string {
	if flag.Short == 0 {
		return ""
	}
	return string(flag.Short)
}
