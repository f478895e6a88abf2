package edge

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/currantpier/currantpier/carry"
	"github.com/currantpier/currantpier/codec"
)

// writeWhere writes the answer to GET /where as JSON. The API key is in a header field, since URIs appear in logs of intermediaries.
// It reports false if the parameters are not those of a request.
func (n *Node) writeWhere(b *bytes.Buffer, now time.Time, r *codec.Request) (ok bool, err error) {
	_, query, _ := strings.Cut(r.URI(), "?")
	q, err := url.ParseQuery(query)
	if err != nil {
		return false, nil
	}
	w, ok := n.cfg.Forwarder.Where(now, carry.Query{Host: q.Get("host"), Path: q.Get("path"), Object: q.Get("object"),
		Key: r.SingleField(carry.WhereKeyField)})
	if !ok {
		return false, nil
	}
	if q.Get("all") == "" {
		w.LimitTargets()
	}
	enc := json.NewEncoder(b)
	enc.SetIndent("", "  ")
	return true, enc.Encode(w)
}

func badWhereRequest() *codec.Response {
	return codec.NewResponse(http.StatusBadRequest, "host, path, object or key are not those of a request\n")
}
