package conf

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"plantainwinch/winch"
)

const validSettings = `[Entry]
Name = d1-1
Domain = d1
[Cell]
Name = test
OperatorKeyHash = ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad
Prefer = Waiting
[Listen]
Callers = 127.0.0.1:1
Operators = 127.0.0.1:2
Peers = 127.0.0.1:3
[Platform]
Address = 127.0.0.1:4
[Peers]
Token = secret
Addresses = 127.0.0.1:3, 127.0.0.1:5
[Limits]
HoldAnswer = 1MB
[Timing]
Heartbeat = 500ms
`

// Guards against a valid settings file being decoded wrongly, and against missing
// optional keys not getting their defaults.
func TestDecode(t *testing.T) {
	is := is.New(t)
	s, err := Decode("entry.ini", []byte(validSettings))
	is.NoErr(err)
	is.Equal(s.Cell.Prefer, "Waiting")
	is.Equal(s.Peers.Addresses, []string{"127.0.0.1:3", "127.0.0.1:5"})
	is.Equal(s.Limits.HoldAnswer, winch.Bytes(1<<20))
	is.Equal(s.Timing.Heartbeat, 500*time.Millisecond)
	is.Equal(s.Timing.Drain, 30*time.Second)
}

// Guards against errors that do not name the file, the line and the fix of a mistake
// in the settings.
func TestDecodeErrorsNameLineAndFix(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{"Prefer = Waiting", "Prefre = Waiting", "entry.ini:7: unknown key Prefre in [Cell]: did you mean Prefer?"},
		{"Prefer = Waiting", "Prefer = Speed", "entry.ini:7: Prefer = Speed: write Packing or Waiting"},
		{"Name = d1-1\n", "", "entry.ini:1: key Name is missing in [Entry]: add a line Name = ..."},
		{"Heartbeat = 500ms", "Heartbeat = 500", "entry.ini:20: Heartbeat = 500: not a duration: write a number with its unit"},
		{"Heartbeat = 500ms", "Heartbeat = 9s", "entry.ini:19: times are inconsistent"},
		{"HoldAnswer = 1MB", "HoldAnswer = 1000", "entry.ini:18: HoldAnswer = 1000: not an amount: write a whole number with its unit"},
		{"HoldAnswer = 1MB", "QueueLength = 5s", "entry.ini:18: QueueLength = 5s: not a whole number"},
		{"[Timing]", "[Timings]", "entry.ini:19: unknown section [Timings]: did you mean [Timing]?"},
		{"Address = 127.0.0.1:4", "Address = platform", "entry.ini:13: Address = platform: write an IP address and a port"},
		{"Addresses = 127.0.0.1:3, 127.0.0.1:5", "Addresses = 127.0.0.1", "entry.ini:16: 127.0.0.1: write IP addresses with ports"},
		{"Token = secret", "Token = secret\nToken = other", "entry.ini:16: Token already appears on line 15: keep one of the two"},
		{"[Timing]", "[Timing", `entry.ini:19: section "[Timing" has no closing bracket`},
		{"Token = secret", "Token", `entry.ini:15: "Token" is not a setting: write it as Key = Value`},
		{"ba7816bf", "xyz", "entry.ini:6: OperatorKeyHash is not a SHA-256 hash"},
		{"Token = secret", "Token =", "entry.ini:15: Token = : is empty"},
		{"Prefer = Waiting", "FenceAtVM = yes", "entry.ini:7: FenceAtVM = yes: write true or false"},
	} {
		_, err := Decode("entry.ini", []byte(strings.Replace(validSettings, c.old, c.new, 1)))
		if err == nil || !strings.HasPrefix(err.Error(), c.want) {
			t.Errorf("%s:\n got %v\nwant %s", c.new, err, c.want)
		}
	}
}

const validDeclarations = `[Team choir-north]
Share = 3
Limit = 40
[Class preview]
Wait = 4s
MaxRun = 30s
Repeatable = true
[Service render]
MaxBody = 8MB
[Team gone]
Remove = true
`

// Guards against a valid declaration file being decoded wrongly.
func TestDecodeDeclarations(t *testing.T) {
	is := is.New(t)
	d, err := DecodeDeclarations("cell.ini", []byte(validDeclarations))
	is.NoErr(err)
	is.Equal(d.Teams["choir-north"], winch.Team{Name: "choir-north", Share: 3, Limit: 40, CutOffTrust: DefaultCutOffTrust})
	is.Equal(d.Classes["preview"].Wait, 4*time.Second)
	is.Equal(d.Services["render"].MaxBody, winch.Bytes(8<<20))
	is.Equal(len(d.Remove), 1)
}

// Guards against errors that do not name the file, the line and the fix of a mistake
// in the declarations.
func TestDeclarationErrorsNameLineAndFix(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{"Share = 3", "Weight = 3", "cell.ini:2: unknown key Weight in [Team choir-north]: did you mean"},
		{"Share = 3\n", "", "cell.ini:1: key Share is missing"},
		{"Wait = 4s", "Wait = 4s\nBy = 06:00", "cell.ini:4: "},
		{"[Class preview]", "[Clas preview]", "cell.ini:4: unknown section [Clas preview]: did you mean [Class preview]?"},
		{"[Team choir-north]", "[Team Choir]", "cell.ini:1: "},
		{"[Service render]", "[Service]", "cell.ini:8: section [Service]: write [Team NAME]"},
	} {
		_, err := DecodeDeclarations("cell.ini", []byte(strings.Replace(validDeclarations, c.old, c.new, 1)))
		if err == nil || !strings.HasPrefix(err.Error(), c.want) {
			t.Errorf("%s:\n got %v\nwant %s", c.new, err, c.want)
		}
	}
}

// FuzzDecode searches for input that makes decoding panic.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte(validDeclarations))
	f.Add([]byte("[a]\n=\n[DEFAULT]\nx=`\n"))
	f.Fuzz(func(_ *testing.T, text []byte) {
		_, _ = Decode("f", text)
		_, _ = DecodeDeclarations("f", text)
	})
}

func ExampleParseBytes() {
	n, _ := ParseBytes("64MB")
	fmt.Println(int64(n), FormatBytes(n))
	_, err := ParseBytes("64")
	fmt.Println(err)
	// Output:
	// 67108864 64MB
	// not an amount: write a whole number with its unit, such as 512KB, 64MB or 2GB
}

func ExampleNearest() {
	fmt.Println(Nearest("Heartbeet", []string{"Office", "Heartbeat", "Drain"}))
	// Output: Heartbeat
}

// Guards against the optional key Announce being required, ignored or not validated.
func TestDecodeRegionAnnounce(t *testing.T) {
	is := is.New(t)
	text := func(announce string) []byte {
		return []byte("[Entry]\nName = e1\nDomain = d1\n[Listen]\nCallers = 127.0.0.1:1\nReady = 127.0.0.1:2\nPeers = 127.0.0.1:3\n" +
			announce + "[Platform]\nAdapter = Region\nAddress = 127.0.0.1:4\n[Peers]\nToken = x\n[Limits]\nMemory = 64MB\nProcessors = 0.5\n")
	}
	s, err := DecodeRegion("entry.ini", text(""))
	is.NoErr(err)
	is.Equal(s.Listen.Announce, "")
	s, err = DecodeRegion("entry.ini", text("Announce = 127.0.0.1:5\n"))
	is.NoErr(err)
	is.Equal(s.Listen.Announce, "127.0.0.1:5")
	_, err = DecodeRegion("entry.ini", text("Announce = nowhere\n"))
	is.True(err != nil)
}

// Guards against the section Planner being ignored, or unknown names in it being accepted: an operator would
// believe that a mechanism is off while it is on.
func TestDecodeRegionPlanner(t *testing.T) {
	is := is.New(t)
	text := func(planner string) []byte {
		return []byte("[Entry]\nName = e1\nDomain = d1\n[Listen]\nCallers = 127.0.0.1:1\nReady = 127.0.0.1:2\nPeers = 127.0.0.1:3\n" +
			"[Platform]\nAdapter = Region\nAddress = 127.0.0.1:4\n[Peers]\nToken = x\n[Limits]\nMemory = 64MB\nProcessors = 0.5\n" + planner)
	}
	s, err := DecodeRegion("entry.ini", text(""))
	is.NoErr(err)
	is.Equal(s.Planner.Policy(), winch.DefaultPolicy())
	s, err = DecodeRegion("entry.ini", text("[Planner]\nWithout = Copies, Evict\nOrder = LeastWork\n"))
	is.NoErr(err)
	policy := s.Planner.Policy()
	is.True(!policy.Copies && !policy.Evict && policy.Speeds)
	is.Equal(policy.Order, winch.OrderLeastWork)
	_, err = DecodeRegion("entry.ini", text("[Planner]\nWithout = Copys\n"))
	is.True(err != nil && strings.Contains(err.Error(), "entry.ini:17: Without = Copys: no such mechanism: did you mean Copies?"))
	_, err = DecodeRegion("entry.ini", text("[Planner]\nOrder = Random\n"))
	is.True(err != nil && strings.Contains(err.Error(), "write one of Slack, LeastWork, Deficit, Mixed"))
}
