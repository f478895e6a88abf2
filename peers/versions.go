package peers

import (
	"time"

	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/proto"
)

// SetOperatorVersion sets the version of the newest change of the operators' table that this VM has applied, which all its
// messages announce. It must be called before a message confirms the table up to that version: receivers that lack the
// change would otherwise take the confirmation for their own rows. A lower version than before is ignored.
func (v *View) SetOperatorVersion(version ident.Version) {
	v.operatorVersion = max(v.operatorVersion, version)
}

// OperatorTableBehind reports whether a peer has announced a newer version of the operators' table than this VM has
// read, and the change itself has not arrived within behindGrace.
func (v *View) OperatorTableBehind(now time.Time) bool {
	return v.peerOperatorVersion > v.operatorVersion && now.Sub(v.behindSince) >= behindGrace
}

// OperatorTableCurrent reports whether no peer has announced a newer version of the operators' table than this VM has read.
func (v *View) OperatorTableCurrent() bool { return v.peerOperatorVersion <= v.operatorVersion }

// NewestOperatorVersion returns the newest version of the operators' table that this VM has read or a peer has announced.
func (v *View) NewestOperatorVersion() ident.Version {
	return max(v.operatorVersion, v.peerOperatorVersion)
}

// SetConfigVersion sets the version of the configuration that this VM has in force, which all its messages announce.
func (v *View) SetConfigVersion(version ident.Version) { v.configVersion = version }

// ConfigBehind reports whether a peer has announced a newer configuration than this VM has in force, and it has not
// arrived within behindGrace. A peer that was not heard for removeAfter is gone, and its configuration with it.
func (v *View) ConfigBehind(now time.Time) bool {
	return v.peerConfigVersion > v.configVersion && now.Sub(v.configBehindSince) >= behindGrace && now.Sub(v.configHeardAt) < removeAfter
}

// ConfigHolder returns the VM that has announced the newest configuration, and that configuration's version.
func (v *View) ConfigHolder() (proto.VMInfo, ident.Version) {
	return v.configHolder, v.peerConfigVersion
}

// receiveConfigVersion records the configuration that a peer has in force.
func (v *View) receiveConfigVersion(now time.Time, from proto.VMInfo, version ident.Version) {
	if version < v.peerConfigVersion || version <= v.configVersion {
		return
	}
	if v.peerConfigVersion <= v.configVersion {
		v.configBehindSince = now
	}
	v.peerConfigVersion, v.configHolder, v.configHeardAt = version, from, now
}

// SetReadUpTo records that this VM has read the whole operators' table as of a version of the store. Such a reading
// contains no removed rows, so a removal's version is known only from peers.
func (v *View) SetReadUpTo(version ident.Version) {
	if v.peerOperatorVersion <= version {
		v.operatorVersion = max(v.operatorVersion, v.peerOperatorVersion)
	}
}
