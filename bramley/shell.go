package main

import (
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/chzyer/readline"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/operator"
)

// runShell executes statements from the terminal, with history and completion. It
// returns the result of the last statement.
func (c *client) runShell() (bramleyfall.ResultCode, error) {
	terminal, err := readline.NewEx(&readline.Config{
		Prompt:       "bramley> ",
		AutoComplete: completer(),
	})
	if err != nil {
		return bramleyfall.BadSetting, err
	}
	defer terminal.Close()
	code := bramleyfall.OK
	for {
		text, err := terminal.Readline()
		if errors.Is(err, io.EOF) || errors.Is(err, readline.ErrInterrupt) {
			return code, nil
		}
		if err != nil {
			return code, err
		}
		switch text = strings.TrimSpace(text); text {
		case "":
		case "help":
			fmt.Fprintln(c.out, operator.Grammar())
		case "exit", "quit":
			return code, nil
		default:
			if code, err = c.execute(text); err != nil {
				fmt.Fprintln(c.errOut, err)
			}
		}
	}
}

// completer completes the first words of each statement.
func completer() readline.AutoCompleter {
	item := readline.PcItem
	return readline.NewPrefixCompleter(
		item("show", item("services"), item("upstreams", item("of")), item("domains"), item("instances"), item("revision"), item("change")),
		item("explain", item("flow")),
		item("create", item("service")),
		item("add", item("address")),
		item("remove", item("address")),
		item("allow", item("upstream")),
		item("forbid", item("upstream")),
		item("drain", item("upstream")),
		item("undrain", item("upstream")),
		item("take", item("domain")),
		item("return", item("domain")),
		item("set"),
		item("delete", item("service")),
		item("help"),
		item("exit"),
	)
}
