package benchroute

import (
	"os"
	"testing"
)

func TestRoutingTable(t *testing.T) {
	table := Run(1)
	if err := table.Print(os.Stdout); err != nil {
		t.Fatal(err)
	}
}
