package qfmove

import (
	"os"
	"testing"

	"quetzalfront/internal/qftest"
)

func TestMain(m *testing.M) {
	if err := qftest.FixSeeds(); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
