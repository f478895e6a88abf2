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

// maxFileBytes is the maximum size of a settings file. A larger file is certainly not a settings file.
const maxFileBytes = 1 << 20

// byteOrderMark is written by some editors at the start of UTF-8 files.
const byteOrderMark = "\ufeff"

// Problem is one error in a settings file.
type Problem struct {
	// Line counts from 1. It is 0 if a section is missing from the file.
	Line    int
	Section string
	// Key is empty for an error of the whole section.
	Key   string
	Value string
	// Allowed describes the allowed values.
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

// Problems is an error with every problem of one settings file, in the order of the lines.
type Problems struct {
	File string
	List []Problem
}

// Error returns one line per problem.
func (p *Problems) Error() string {
	lines := make([]string, len(p.List))
	for i, problem := range p.List {
		lines[i] = p.File + ": " + problem.String()
	}
	return strings.Join(lines, "\n")
}

// section is one section of the file with its keys.
type section struct {
	// spec is the Section of the keys that are allowed here. It is empty if the section itself is invalid; its keys are
	// then ignored, so that only the section is reported.
	spec string
	name string
	line int
	// params are the words after the first in name.
	params   []string
	keyLines map[string]int
	values   map[string]string
}

// parser collects the sections of a settings file and its problems.
type parser struct {
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
	data, err := io.ReadAll(io.LimitReader(f, maxFileBytes+1))
	if err != nil {
		return nil, errors.Wrapf(err, "settings %s", path)
	}
	if len(data) > maxFileBytes {
		return nil, errors.Newf("settings %s: larger than 1 MiB", path)
	}
	return Parse(path, data)
}

// Parse parses and checks the content of a settings file. file is its name in error messages. The error is a *Problems.
func Parse(file string, data []byte) (*Settings, error) {
	p := &parser{}
	text, hasBOM := strings.CutPrefix(string(data), byteOrderMark)
	if hasBOM {
		p.report(1, "", "", "(byte order mark)", "UTF-8 without a byte order mark at its start")
	}
	p.parseLines(text)
	s := p.buildSettings()
	p.checkRelations(s)
	if len(p.problems) > 0 {
		sort.SliceStable(p.problems, func(i, j int) bool { return p.problems[i].Line < p.problems[j].Line })
		return nil, &Problems{File: file, List: p.problems}
	}
	return s, nil
}

func (p *parser) report(line int, section, key, value, allowed string) {
	p.problems = append(p.problems, Problem{line, section, key, value, allowed})
}

// iniOptions disables INI syntax that spans lines or changes values.
var iniOptions = ini.LoadOptions{
	IgnoreContinuation:       true,
	SpaceBeforeInlineComment: true,
	KeyValueDelimiters:       "=",
	PreserveSurroundedQuote:  true,
}

// parseLines fills p.sections. Each line is passed to the INI library separately, because the library stops at the first
// error and does not return line numbers.
func (p *parser) parseLines(text string) {
	var cur *section
	for i, line := range strings.Split(text, "\n") {
		f, err := ini.LoadSources(iniOptions, []byte(line+"\n"))
		if err != nil {
			p.report(i+1, "", "", strings.TrimSpace(line), "[section], key = value, or a comment that starts with # or ;")
			continue
		}
		if strings.HasPrefix(strings.TrimSpace(line), "[") {
			names := f.SectionStrings()
			cur = p.startSection(i+1, names[len(names)-1])
			continue
		}
		for _, k := range f.Section(ini.DefaultSection).Keys() {
			p.addKey(cur, i+1, k.Name(), k.Value())
		}
	}
}

// startSection checks the header of a section. A valid section is added to p.sections; for an invalid one a section with
// an empty spec is returned. An invalid parameter is reported, but the section is added.
func (p *parser) startSection(line int, name string) *section {
	words := strings.Fields(name)
	s := &section{name: name, line: line, keyLines: map[string]int{}, values: map[string]string{}}
	if len(words) > 0 {
		s.spec, s.params = matchSpec(words), words[1:]
	}
	if s.spec == "" {
		p.report(line, name, "", "", "the sections "+strings.Join(sectionSpecs(), ", "))
		return s
	}
	for _, n := range s.params {
		if !ident.ValidName(n) {
			p.report(line, name, "", n, allowedName)
		}
	}
	s.name = strings.Join(words, " ")
	for _, other := range p.sections {
		if other.name == s.name {
			p.report(line, name, "", "", fmt.Sprintf("each section once; the first is in line %d", other.line))
			s.spec = ""
			return s
		}
	}
	p.sections = append(p.sections, s)
	return s
}

// matchSpec returns the spec with the same first word and number of words, or "".
func matchSpec(words []string) string {
	for _, spec := range sectionSpecs() {
		specWords := strings.Fields(spec)
		if specWords[0] == words[0] && len(specWords) == len(words) {
			return spec
		}
	}
	return ""
}

// sectionSpecs returns the distinct values of Section in keys.
func sectionSpecs() []string {
	var list []string
	for _, k := range keys {
		if len(list) == 0 || list[len(list)-1] != k.Section {
			list = append(list, k.Section)
		}
	}
	return list
}

// addKey adds a key to the section s, which is nil before the first section. It reports unknown and duplicate keys.
func (p *parser) addKey(s *section, line int, name, value string) {
	switch {
	case s == nil:
		p.report(line, "", name, value, "keys only after a [section]")
		return
	case s.spec == "":
		return
	case s.keyLines[name] > 0:
		p.report(line, s.name, name, value, fmt.Sprintf("each key once; the first is in line %d", s.keyLines[name]))
		return
	}
	s.keyLines[name], s.values[name] = line, value
	var allowedKeys []string
	for _, k := range keys {
		if k.Section == s.spec {
			allowedKeys = append(allowedKeys, k.Name)
		}
		if k.Section == s.spec && k.Name == name {
			return
		}
	}
	p.report(line, s.name, name, value, "the keys "+strings.Join(allowedKeys, ", "))
}

// buildSettings sets every key of every section to the value in the file or its default.
func (p *parser) buildSettings() *Settings {
	s := &Settings{}
	for _, spec := range sectionSpecs() {
		found := false
		for _, sec := range p.sections {
			if sec.spec == spec {
				p.buildSection(s, sec)
				found = true
			}
		}
		if !found && spec != sectionRegion && spec != sectionLink {
			p.buildSection(s, &section{spec: spec, name: spec})
		}
	}
	sort.Slice(s.Regions, func(i, j int) bool { return s.Regions[i].Name < s.Regions[j].Name })
	sort.Slice(s.Links, func(i, j int) bool {
		a, b := s.Links[i], s.Links[j]
		return a.A < b.A || a.A == b.A && a.B < b.B
	})
	return s
}

// buildSection parses the values of one section into s. It reports missing required keys and invalid values.
func (p *parser) buildSection(s *Settings, sec *section) {
	b := &settingsBuilder{Settings: s, region: &Region{}, link: &Link{}}
	for _, k := range keys {
		if k.Section != sec.spec {
			continue
		}
		line, ok := sec.keyLines[k.Name]
		value := sec.values[k.Name]
		switch {
		case !ok && k.Default == "":
			p.report(sec.line, sec.name, k.Name, "(missing)", k.Allowed)
		case !ok:
			k.set(b, k.Default)
		case !k.set(b, value):
			p.report(line, sec.name, k.Name, displayValue(value), k.Allowed)
		}
	}
	switch sec.spec {
	case sectionRegion:
		b.region.Name = ident.Region(sec.params[0])
		s.Regions = append(s.Regions, *b.region)
	case sectionLink:
		b.link.A, b.link.B = ident.Region(sec.params[0]), ident.Region(sec.params[1])
		if b.link.B < b.link.A {
			b.link.A, b.link.B = b.link.B, b.link.A
		}
		s.Links = append(s.Links, *b.link)
	}
}

// displayValue returns v for an error message, with "(empty)" for an empty value.
func displayValue(v string) string {
	if v == "" {
		return "(empty)"
	}
	return v
}

// lineOf returns the line of a key, or of its section if the key is not in the file, or 0 if neither is.
func (p *parser) lineOf(name, key string) int {
	for _, s := range p.sections {
		if s.name == name {
			return max(s.keyLines[key], s.line)
		}
	}
	return 0
}

// checkRelations checks conditions that involve several keys. A missing failure domain or stop-timeout is skipped, since it
// is already reported.
func (p *parser) checkRelations(s *Settings) {
	p.checkRegions(s)
	p.checkLinks(s)
	p.checkListenAddresses(s)
	if s.Shift.PerMinute < s.Shift.PerStep {
		p.report(p.lineOf(sectionShift, "per-minute"), sectionShift, "per-minute", percent(s.Shift.PerMinute),
			"at least per-step, which is "+percent(s.Shift.PerStep))
	}
	// During a graceful shutdown the daemon accepts requests for the lookup TTL plus 1 s. The rest of the timeout is left
	// for requests in progress.
	if s.Limits.LookupTTL > s.Limits.StopTimeout/2 && s.Limits.StopTimeout > 0 {
		p.report(p.lineOf(sectionLimits, "lookup-ttl"), sectionLimits, "lookup-ttl", s.Limits.LookupTTL.String(),
			"at most half of stop-timeout, which is "+s.Limits.StopTimeout.String())
	}
}

// percent formats p in percent, for example "2.5%".
func percent(p ident.PPM) string {
	return fmt.Sprintf("%g%%", float64(p)*100/float64(ident.Whole))
}

// checkRegions checks that there is a region, that no two regions share a failure domain, and that the VM's failure
// domain belongs to its region.
func (p *parser) checkRegions(s *Settings) {
	if len(s.Regions) == 0 {
		p.report(0, sectionRegion, "", "(missing)", "at least one region")
		return
	}
	regionOf := map[ident.Domain]ident.Region{}
	for _, reg := range s.Regions {
		name := "region " + string(reg.Name)
		for _, d := range reg.Domains {
			if first, ok := regionOf[d]; ok {
				p.report(p.lineOf(name, "failure-domains"), name, "failure-domains", string(d),
					"names that are not listed yet; this one is in region "+string(first))
			}
			regionOf[d] = reg.Name
		}
	}
	if reg, ok := regionOf[s.VM.Domain]; s.VM.Domain != "" && (!ok || reg != s.VM.Region) {
		p.report(p.lineOf(sectionVM, "failure-domain"), sectionVM, "failure-domain", string(s.VM.Domain),
			fmt.Sprintf("a failure domain that [region %s] lists", s.VM.Region))
	}
}

// checkLinks checks that each link connects two different regions of the file and that no pair has two links.
func (p *parser) checkLinks(s *Settings) {
	for _, sec := range p.sections {
		if sec.spec != sectionLink {
			continue
		}
		for _, n := range sec.params {
			if p.lineOf("region "+n, "") == 0 {
				p.report(sec.line, sec.name, "", n, "the name of a [region NAME] section")
			}
		}
		if sec.params[0] == sec.params[1] {
			p.report(sec.line, sec.name, "", "", "two different regions")
		}
		if first := p.lineOf("link "+sec.params[1]+" "+sec.params[0], ""); first > 0 && first < sec.line {
			p.report(sec.line, sec.name, "", "", fmt.Sprintf("each pair of regions once; the first is in line %d", first))
		}
	}
}

// checkListenAddresses checks that listeners have different addresses, except for port 0, which picks a free port.
func (p *parser) checkListenAddresses(s *Settings) {
	type listener struct {
		section, key string
		addr         string
		port         uint16
	}
	all := []listener{
		{sectionEntry, "listen", s.Entry.Listen.String(), s.Entry.Listen.Port()},
		{sectionEntry, "control-listen", s.Entry.ControlListen.String(), s.Entry.ControlListen.Port()},
		{sectionSteer, "control-listen", s.Steer.ControlListen.String(), s.Steer.ControlListen.Port()},
	}
	for i, a := range all {
		for _, b := range all[:i] {
			if a.port != 0 && a.addr == b.addr {
				p.report(p.lineOf(a.section, a.key), a.section, a.key, a.addr,
					fmt.Sprintf("an address other than that of [%s] %s", b.section, b.key))
			}
		}
	}
}
