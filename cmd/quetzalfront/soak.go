package main

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"github.com/integrii/flaggy"

	"quetzalfront/internal/standin/standtrouble"
)

// errSoakIsATest is returned when the soak itself is asked for.
var errSoakIsATest = errors.New("only --list can be shown; the soak runs as a test: go test ./cmd/quetzalfront -run TestSoak")

func soakCommand() *command {
	list := false
	sub := flaggy.NewSubcommand("soak")
	sub.Description = "print the troubles that tests draw"
	sub.Bool(&list, "", "list", "print the table of troubles, and the sentences of the pages that none of them plays")
	return &command{sub: sub, run: func(context.Context) int {
		if !list {
			_ = fail(errSoakIsATest)
			return exitUsage
		}
		return printTroubles()
	}}
}

// printTroubles prints the table, and then the sentences that nothing plays.
func printTroubles() int {
	rows := standtrouble.Table()
	code := printTable("BY\tTROUBLE\tDOSE\tTHREATENS\tSENTENCES", len(rows), func(i int) string {
		row := &rows[i]
		threatens := make([]string, len(row.Threatens))
		for i, p := range row.Threatens {
			threatens[i] = string(p)
		}
		return fmt.Sprintf("%s\t%s\t%s\t%s\t%s", row.Actor, row.Name, row.Dose, strings.Join(threatens, " "), strings.Join(row.Sentences, " "))
	})
	unplayed := standtrouble.Unplayed()
	fmt.Printf("\n%d sentences without a trouble:\n", len(unplayed))
	for _, s := range unplayed {
		fmt.Printf("%s (%s): %s\n", s.ID, s.Page, s.Says)
	}
	return code
}
