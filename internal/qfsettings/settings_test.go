package qfsettings_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qfsettings"
)

const validSettings = `[Node]
ID = "node-1"
Region = "north"
AvailabilityZone = "north-a"
CallerAddress = "127.0.0.1:7001"
PeerAddress = "127.0.0.1:7002"
OperatorAddress = "127.0.0.1:7003"
[Platform]
Table = "127.0.0.1:7100"
Objects = "127.0.0.1:7102"
Cloud = "127.0.0.1:7101"
VMList = "127.0.0.1:7101"
[Security]
Insecure = true
`

// replaced returns validSettings with one text replaced by another.
func replaced(from, to string) string { return strings.Replace(validSettings, from, to, 1) }

// TestFaultsNameFileLineKeyAndExpectation fails if a fault is reported without its line, its
// key and what was expected there, or if not all faults are reported at once.
func TestFaultsNameFileLineKeyAndExpectation(t *testing.T) {
	const unknown = "unknown key; remove it or correct its spelling"
	tests := []struct {
		name, text string
		want       []string
	}{
		{"no fault", validSettings, nil},
		{"unknown key", replaced("ID =", "Idd = 'x'\nID ="), []string{"line 2: Node.Idd: " + unknown}},
		{"unknown table", validSettings + "[Nodes]\nA = 1\n", []string{"line 15: Nodes: " + unknown}},
		{"missing field", replaced("Region = \"north\"\n", ""), []string{"line 1: Node.Region: is required"}},
		{"missing address", replaced("Table = \"127.0.0.1:7100\"\n", ""), []string{"line 8: Platform.Table: is required"}},
		{
			"bad unit", validSettings + "[Peer]\nTimeout = '5'\n",
			[]string{`line 16: Peer.Timeout: expected a duration with a unit, such as "250ms" or "2s", not "5"`},
		},
		{
			"number for a duration", validSettings + "[Peer]\nTimeout = 5\n",
			[]string{`line 16: Peer.Timeout: expected a duration with a unit, such as "250ms" or "2s", not 5`},
		},
		{
			"name for an address", replaced("127.0.0.1:7002", "node.local:7002"),
			[]string{`line 6: Node.PeerAddress: ParseAddr("node.local"): unexpected character (at "node.local")`},
		},
		{"below the minimum", validSettings + "[Request]\nMaxInProgress = 0\n", []string{"line 16: Request.MaxInProgress: expected at least 1"}},
		{"not above zero", validSettings + "[Feed]\nLoadEvery = '0s'\n", []string{"line 16: Feed.LoadEvery: expected more than 0"}},
		{"unknown choice", validSettings + "[Log]\nLevel = 'loud'\n", []string{`line 16: Log.Level: expected one of debug info warn error, not "loud"`}},
		{"contradictory keys", validSettings + "[Peer]\nDeadAfter = '1s'\n", []string{"line 16: Peer.DeadAfter: expected more than Peer.SuspectAfter"}},
		{
			"no certificates", replaced("Insecure = true", ""),
			[]string{"line 13: Security.CertificateFile: expected CertificateFile, KeyFile and AuthorityFile, or Insecure = true"},
		},
		{
			"several at once", replaced("ID = \"node-1\"\n", "") + "[Peer]\nTimeout = '5'\nTimout = '5s'\n",
			[]string{
				"line 1: Node.ID: is required",
				`line 15: Peer.Timeout: expected a duration with a unit, such as "250ms" or "2s", not "5"`,
				"line 16: Peer.Timout: " + unknown,
			},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "node.toml")
			if err := os.WriteFile(path, []byte(test.text), 0o600); err != nil {
				t.Fatal(err)
			}
			_, faults, err := qfsettings.Check(path)
			if err != nil || len(faults) != len(test.want) {
				t.Fatalf("faults %q, %v; want %q", faults, err, test.want)
			}
			for i, fault := range faults {
				if fault.String() != test.want[i] {
					t.Errorf("fault %q, want %q", fault, test.want[i])
				}
			}
			_, err = qfsettings.Load(path)
			if (err != nil) != (len(test.want) > 0) {
				t.Fatalf("Load: %v", err)
			}
			for _, fault := range test.want {
				if !strings.Contains(err.Error(), path+": "+fault) {
					t.Errorf("Load: %v; want %q in it", err, fault)
				}
			}
		})
	}
}

// TestLoadOfAMissingFile fails if a missing file isn't reported with CodeNotFound.
func TestLoadOfAMissingFile(t *testing.T) {
	_, err := qfsettings.Load(filepath.Join(t.TempDir(), "none.toml"))
	if qf.CodeOf(err) != qf.CodeNotFound {
		t.Errorf("error %v, want code %s", err, qf.CodeNotFound)
	}
}
