package config

import (
	"fmt"
	"io"
	"os"
	"sort"
	"strings"

	"github.com/cockroachdb/errors"
	"gopkg.in/ini.v1"

	"github.com/currantpier/currantpier/ident"
)

// maxFile is the size of the largest settings file, in bytes. A larger file is certainly not a settings file.
const maxFile = 1 << 20

// byteOrderMark is what some editors put before UTF-8 text.
const byteOrderMark = "\ufeff"

// Problem is one error of a settings file.
type Problem struct {
	// Line counts from 1. It is 0 for something that is missing from the file.
	Line    int
	Section string
	// Key is empty if the problem is one of the whole section.
	Key   string
	Value string
	// Allowed says what would be right.
	Allowed string
}

// String returns the problem on one line, for example
// "line 7: [steer] lease-term = 2m: allowed: 5s to 60s".
func (p Problem) String() string {
	var b strings.Builder
	if p.Line > 0 {
		fmt.Fprintf(&b, "line %d:", p.Line)
	}
	if p.Section != "" {
		fmt.Fprintf(&b, " [%s]", p.Section)
	}
	if p.Key != "" {
		fmt.Fprintf(&b, " %s =", p.Key)
	}
	return strings.TrimRight(b.String()+" "+p.Value, " ") + ": allowed: " + p.Allowed
}

// Problems holds every error of one settings file, in the order of the lines.
type Problems struct {
	File string
	List []Problem
}

// Error returns one line per problem.
func (p *Problems) Error() string {
	lines := make([]string, len(p.List))
	for i, one := range p.List {
		lines[i] = p.File + ": " + one.String()
	}
	return strings.Join(lines, "\n")
}

// section is one section of the file, with the lines of its keys.
type section struct {
	// spec is the Section of the keys that are allowed here; empty if the section itself is wrong, so that its keys are
	// not reported as well.
	spec string
	name string
	line int
	// names are the words after the first in the section's name.
	names []string
	lines map[string]int
	value map[string]string
}

type reader struct {
	problems []Problem
	sections []*section
}

// Load reads and checks a settings file. The error is a *Problems if the file was read but is not valid.
func Load(path string) (*Settings, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	defer f.Close()
	data, err := io.ReadAll(io.LimitReader(f, maxFile+1))
	if err != nil {
		return nil, errors.Wrapf(err, "settings %s", path)
	}
	if len(data) > maxFile {
		return nil, errors.Newf("settings %s: larger than 1 MiB", path)
	}
	return Parse(path, data)
}

// Parse checks the content of a settings file. file appears in the errors. The error is a *Problems.
func Parse(file string, data []byte) (*Settings, error) {
	r := &reader{}
	text, marked := strings.CutPrefix(string(data), byteOrderMark)
	if marked {
		r.report(1, "", "", "(byte order mark)", "UTF-8 without a byte order mark at its start")
	}
	r.split(text)
	s := r.fill()
	r.cross(s)
	if len(r.problems) > 0 {
		sort.SliceStable(r.problems, func(i, j int) bool { return r.problems[i].Line < r.problems[j].Line })
		return nil, &Problems{File: file, List: r.problems}
	}
	return s, nil
}

func (r *reader) report(line int, section, key, value, allowed string) {
	r.problems = append(r.problems, Problem{line, section, key, value, allowed})
}

// iniOptions turns off the forms of INI that span lines or change the value.
var iniOptions = ini.LoadOptions{
	IgnoreContinuation:       true,
	SpaceBeforeInlineComment: true,
	KeyValueDelimiters:       "=",
	PreserveSurroundedQuote:  true,
}

// split reads the lines into sections. The library stops at the first error and does not tell lines, so each line is
// given to it separately.
func (r *reader) split(text string) {
	var cur *section
	for i, line := range strings.Split(text, "\n") {
		f, err := ini.LoadSources(iniOptions, []byte(line+"\n"))
		if err != nil {
			r.report(i+1, "", "", strings.TrimSpace(line), "[section], key = value, or a comment that starts with # or ;")
			continue
		}
		if strings.HasPrefix(strings.TrimSpace(line), "[") {
			names := f.SectionStrings()
			cur = r.open(i+1, names[len(names)-1])
			continue
		}
		for _, k := range f.Section(ini.DefaultSection).Keys() {
			r.key(cur, i+1, k.Name(), k.Value())
		}
	}
}

// open starts a section.
func (r *reader) open(line int, name string) *section {
	words := strings.Fields(name)
	s := &section{name: name, line: line, lines: map[string]int{}, value: map[string]string{}}
	if len(words) > 0 {
		s.spec, s.names = specOf(words), words[1:]
	}
	if s.spec == "" {
		r.report(line, name, "", "", "the sections "+strings.Join(specs(), ", "))
		return s
	}
	for _, n := range s.names {
		if !ident.ValidName(n) {
			r.report(line, name, "", n, allowedName)
		}
	}
	s.name = strings.Join(words, " ")
	for _, other := range r.sections {
		if other.name == s.name {
			r.report(line, name, "", "", fmt.Sprintf("each section once; the first is in line %d", other.line))
			s.spec = ""
			return s
		}
	}
	r.sections = append(r.sections, s)
	return s
}

func specOf(words []string) string {
	for _, spec := range specs() {
		want := strings.Fields(spec)
		if want[0] == words[0] && len(want) == len(words) {
			return spec
		}
	}
	return ""
}

// specs returns the Section of every key, once each.
func specs() []string {
	var list []string
	for _, k := range keys {
		if len(list) == 0 || list[len(list)-1] != k.Section {
			list = append(list, k.Section)
		}
	}
	return list
}

func (r *reader) key(s *section, line int, name, value string) {
	switch {
	case s == nil:
		r.report(line, "", name, value, "keys only after a [section]")
		return
	case s.spec == "":
		return
	case s.lines[name] > 0:
		r.report(line, s.name, name, value, fmt.Sprintf("each key once; the first is in line %d", s.lines[name]))
		return
	}
	s.lines[name], s.value[name] = line, value
	var known []string
	for _, k := range keys {
		if k.Section == s.spec {
			known = append(known, k.Name)
		}
		if k.Section == s.spec && k.Name == name {
			return
		}
	}
	r.report(line, s.name, name, value, "the keys "+strings.Join(known, ", "))
}

// fill sets every key of every section, from the file or from the default.
func (r *reader) fill() *Settings {
	s := &Settings{}
	for _, spec := range specs() {
		found := false
		for _, sec := range r.sections {
			if sec.spec == spec {
				r.fillSection(s, sec)
				found = true
			}
		}
		if !found && spec != secRegion && spec != secLink {
			r.fillSection(s, &section{spec: spec, name: spec})
		}
	}
	sort.Slice(s.Regions, func(i, j int) bool { return s.Regions[i].Name < s.Regions[j].Name })
	sort.Slice(s.Links, func(i, j int) bool {
		a, b := s.Links[i], s.Links[j]
		return a.A < b.A || a.A == b.A && a.B < b.B
	})
	return s
}

func (r *reader) fillSection(s *Settings, sec *section) {
	d := &draft{Settings: s, region: &Region{}, link: &Link{}}
	for _, k := range keys {
		if k.Section != sec.spec {
			continue
		}
		line, ok := sec.lines[k.Name]
		value := sec.value[k.Name]
		switch {
		case !ok && k.Default == "":
			r.report(sec.line, sec.name, k.Name, "(missing)", k.Allowed)
		case !ok:
			k.set(d, k.Default)
		case !k.set(d, value):
			r.report(line, sec.name, k.Name, orEmpty(value), k.Allowed)
		}
	}
	switch sec.spec {
	case secRegion:
		d.region.Name = ident.Region(sec.names[0])
		s.Regions = append(s.Regions, *d.region)
	case secLink:
		d.link.A, d.link.B = ident.Region(sec.names[0]), ident.Region(sec.names[1])
		if d.link.B < d.link.A {
			d.link.A, d.link.B = d.link.B, d.link.A
		}
		s.Links = append(s.Links, *d.link)
	}
}

func orEmpty(v string) string {
	if v == "" {
		return "(empty)"
	}
	return v
}

// at returns the line of a key, or of its section if the key is not in the file.
func (r *reader) at(name, key string) int {
	for _, s := range r.sections {
		if s.name == name {
			return max(s.lines[key], s.line)
		}
	}
	return 0
}

// cross checks what concerns more than one key. It skips values that were already reported as wrong on their own.
func (r *reader) cross(s *Settings) {
	r.crossRegions(s)
	r.crossLinks(s)
	r.crossListen(s)
	if s.Shift.PerMinute < s.Shift.PerStep {
		r.report(r.at(secShift, "per-minute"), secShift, "per-minute", percent(s.Shift.PerMinute),
			"at least per-step, which is "+percent(s.Shift.PerStep))
	}
	// The stop serves for the lookup TTL and 1 s more; the rest of the limit is for requests in progress.
	if s.Limits.LookupTTL > s.Limits.StopTimeout/2 && s.Limits.StopTimeout > 0 {
		r.report(r.at(secLimits, "lookup-ttl"), secLimits, "lookup-ttl", s.Limits.LookupTTL.String(),
			"at most half of stop-timeout, which is "+s.Limits.StopTimeout.String())
	}
}

func percent(p ident.PPM) string {
	return fmt.Sprintf("%g%%", float64(p)*100/float64(ident.Whole))
}

func (r *reader) crossRegions(s *Settings) {
	if len(s.Regions) == 0 {
		r.report(0, secRegion, "", "(missing)", "at least one region")
		return
	}
	owner := map[ident.Domain]ident.Region{}
	for _, reg := range s.Regions {
		name := "region " + string(reg.Name)
		for _, d := range reg.Domains {
			if first, ok := owner[d]; ok {
				r.report(r.at(name, "failure-domains"), name, "failure-domains", string(d),
					"names that are not listed yet; this one is in region "+string(first))
			}
			owner[d] = reg.Name
		}
	}
	if reg, ok := owner[s.VM.Domain]; s.VM.Domain != "" && (!ok || reg != s.VM.Region) {
		r.report(r.at(secVM, "failure-domain"), secVM, "failure-domain", string(s.VM.Domain),
			fmt.Sprintf("a failure domain that [region %s] lists", s.VM.Region))
	}
}

func (r *reader) crossLinks(s *Settings) {
	for _, sec := range r.sections {
		if sec.spec != secLink {
			continue
		}
		for _, n := range sec.names {
			if r.at("region "+n, "") == 0 {
				r.report(sec.line, sec.name, "", n, "the name of a [region NAME] section")
			}
		}
		if sec.names[0] == sec.names[1] {
			r.report(sec.line, sec.name, "", "", "two different regions")
		}
		if first := r.at("link "+sec.names[1]+" "+sec.names[0], ""); first > 0 && first < sec.line {
			r.report(sec.line, sec.name, "", "", fmt.Sprintf("each pair of regions once; the first is in line %d", first))
		}
	}
}

func (r *reader) crossListen(s *Settings) {
	type listener struct {
		section, key string
		addr         string
		port         uint16
	}
	all := []listener{
		{secEntry, "listen", s.Entry.Listen.String(), s.Entry.Listen.Port()},
		{secEntry, "control-listen", s.Entry.ControlListen.String(), s.Entry.ControlListen.Port()},
		{secSteer, "control-listen", s.Steer.ControlListen.String(), s.Steer.ControlListen.Port()},
	}
	for i, a := range all {
		for _, b := range all[:i] {
			if a.port != 0 && a.addr == b.addr {
				r.report(r.at(a.section, a.key), a.section, a.key, a.addr,
					fmt.Sprintf("an address other than that of [%s] %s", b.section, b.key))
			}
		}
	}
}
