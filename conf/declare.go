package conf

import (
	"os"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"plantainwinch/state/config"
	"plantainwinch/winch"
)

// teamKeys holds the keys of a [Team NAME] section.
type teamKeys struct {
	Share       int `conf:"required"`
	Limit       int `conf:"required"`
	CutOffTrust time.Duration
	Remove      bool
}

// classKeys holds the keys of a [Class NAME] section.
type classKeys struct {
	Wait        time.Duration
	By          string
	Repeatable  bool
	Preemptible bool
	MaxRun      time.Duration `conf:"required"`
	Remove      bool
}

// serviceKeys holds the keys of a [Service NAME] section.
type serviceKeys struct {
	MaxBody winch.Bytes
	Remove  bool
}

const (
	// DefaultCutOffTrust is the CutOffTrust of a team that declares none: how long its keys stay
	// valid in a partitioned failure domain.
	DefaultCutOffTrust = 10 * time.Minute
	// defaultMaxBody is the MaxBody of a service that declares none.
	defaultMaxBody = 64 << 20
)

// LoadDeclarations reads and merges the declarations in several files.
func LoadDeclarations(paths []string) (config.Declared, error) {
	out := newDeclared()
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			return out, merry.Errorf("cannot read declarations: %v", err)
		}
		if err := decodeDeclarations(path, text, &out); err != nil {
			return out, err
		}
	}
	return out, nil
}

// DecodeDeclarations decodes the declarations in one text. Name is used in errors.
func DecodeDeclarations(name string, text []byte) (config.Declared, error) {
	out := newDeclared()
	return out, decodeDeclarations(name, text, &out)
}

func newDeclared() config.Declared {
	return config.Declared{
		Teams: make(map[string]winch.Team), Classes: make(map[string]winch.Class), Services: make(map[string]winch.Service),
	}
}

func decodeDeclarations(name string, text []byte, out *config.Declared) error {
	f, err := Parse(name, text)
	if err != nil {
		return err
	}
	for _, section := range f.Sections() {
		kind, object, ok := strings.Cut(section, " ")
		if !ok {
			return f.Errorf(section, "", "section [%s]: write [Team NAME], [Class NAME] or [Service NAME]", section)
		}
		if err := decodeObject(f, section, config.Named{Kind: config.Kind(kind), Name: object}, out); err != nil {
			return err
		}
	}
	return nil
}

func decodeObject(f *File, section string, n config.Named, out *config.Declared) error {
	var remove bool
	var err error
	switch n.Kind {
	case config.KindTeam:
		remove, err = decodeTeam(f, section, n.Name, out)
	case config.KindClass:
		remove, err = decodeClass(f, section, n.Name, out)
	case config.KindService:
		remove, err = decodeService(f, section, n.Name, out)
	default:
		known := []string{string(config.KindTeam), string(config.KindClass), string(config.KindService)}
		return f.Errorf(section, "", "unknown section [%s]: did you mean [%s %s]?", section, Nearest(string(n.Kind), known), n.Name)
	}
	if remove && err == nil {
		out.Remove = append(out.Remove, n)
	}
	return err
}

// onlyRemoves reports whether the only line of a section is Remove = true. The
// object's other keys are then not required.
func onlyRemoves(f *File, section string) bool {
	s, err := f.ini.GetSection(section)
	return err == nil && s.HasKey("Remove") && len(s.Keys()) == 1 && s.Key("Remove").String() == "true"
}

func decodeTeam(f *File, section, name string, out *config.Declared) (bool, error) {
	if onlyRemoves(f, section) {
		return true, nil
	}
	k := teamKeys{CutOffTrust: DefaultCutOffTrust}
	if err := f.Section(section, &k); err != nil {
		return false, err
	}
	t := winch.Team{Name: name, Share: k.Share, Limit: k.Limit, CutOffTrust: k.CutOffTrust}
	if err := config.CheckTeam(t); err != nil {
		return false, f.Errorf(section, "", "%v", err)
	}
	out.Teams[name] = t
	return k.Remove, nil
}

func decodeClass(f *File, section, name string, out *config.Declared) (bool, error) {
	if onlyRemoves(f, section) {
		return true, nil
	}
	var k classKeys
	if err := f.Section(section, &k); err != nil {
		return false, err
	}
	c := winch.Class{Name: name, Wait: k.Wait, By: k.By, Repeatable: k.Repeatable, Preemptible: k.Preemptible, MaxRun: k.MaxRun}
	if err := config.CheckClass(c); err != nil {
		return false, f.Errorf(section, "", "%v", err)
	}
	out.Classes[name] = c
	return k.Remove, nil
}

func decodeService(f *File, section, name string, out *config.Declared) (bool, error) {
	if onlyRemoves(f, section) {
		return true, nil
	}
	k := serviceKeys{MaxBody: defaultMaxBody}
	if err := f.Section(section, &k); err != nil {
		return false, err
	}
	if err := config.CheckName(name); err != nil {
		return false, f.Errorf(section, "", "%v", err)
	}
	out.Services[name] = winch.Service{Name: name, MaxBody: k.MaxBody}
	return k.Remove, nil
}
