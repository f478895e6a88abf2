package node

import (
	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/lists"
	"github.com/currantpier/currantpier/plan"
	"github.com/currantpier/currantpier/relay"
	"github.com/currantpier/currantpier/store"
)

// DocumentIn returns the document in a row of the table. Its version is the one under which it was accepted, which its
// body states. After the store has returned to an earlier copy of itself, that is a version of an earlier era, although
// the row is read in the new one: the document does not count as newer than one that was accepted later and lost.
func DocumentIn(k relay.Kind, row store.Row) relay.Document {
	doc := relay.Document{Kind: k, Version: row.Version, Body: row.Value}
	if row.Version.Era() == ident.FirstEra {
		return doc // a store that has lost nothing has the version at which the row was written
	}
	if v := statedVersion(doc); v != 0 && v.Era() < row.Version.Era() {
		doc.Version = v
	}
	return doc
}

// MayBeOutdated reports whether a document with a newer version than doc, which was read from row, may have been
// accepted and lost by the store.
func MayBeOutdated(doc relay.Document, row store.Row) bool {
	return max(row.Era, ident.FirstEra) > doc.Version.Era()
}

// statedVersion returns the version in the body of a document, or zero if there is none or the body is malformed.
func statedVersion(doc relay.Document) ident.Version {
	if doc.Kind == relay.Config {
		c, err := lists.Decode(doc.Body)
		if err != nil {
			return 0
		}
		return c.Version
	}
	t, err := plan.Decode(doc.Body)
	if err != nil {
		return 0
	}
	return t.Version
}
