package send

import (
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/currantpier/currantpier/codec"
)

// transport implements fasthttp.RoundTripper. It differs from the library's in that package codec reads the responses, so that what
// is no response is one on no path.
type transport struct {
	// maxBody bounds the body of a response, in bytes.
	maxBody int
}

// RoundTrip implements fasthttp.RoundTripper. The connection is kept only after a complete response without bytes
// behind it: they belong to no request.
func (t transport) RoundTrip(hc *fasthttp.HostClient, req *fasthttp.Request, resp *fasthttp.Response) (retry bool, err error) {
	deadline := time.Now().Add(req.GetTimeOut())
	conn, err := hc.AcquireConn(req.GetTimeOut(), req.ConnectionClose())
	if err != nil {
		return false, err
	}
	quiet, err := t.exchange(hc, conn.Conn(), deadline, req, resp)
	if err != nil {
		hc.CloseConn(conn)
		return false, err
	}
	if !quiet || req.ConnectionClose() || resp.ConnectionClose() {
		hc.CloseConn(conn)
	} else {
		hc.ReleaseConn(conn)
	}
	return false, nil
}

// exchange writes a request to a connection and reads the response. It reports whether nothing has arrived behind the response.
func (t transport) exchange(hc *fasthttp.HostClient, conn net.Conn, deadline time.Time, req *fasthttp.Request,
	resp *fasthttp.Response) (quiet bool, err error) {
	if err := conn.SetDeadline(deadline); err != nil {
		return false, err
	}
	bw := hc.AcquireWriter(conn)
	defer hc.ReleaseWriter(bw)
	if err := req.Write(bw); err != nil {
		return false, err
	}
	if err := bw.Flush(); err != nil {
		return false, err
	}
	br := hc.AcquireReader(conn)
	defer hc.ReleaseReader(br)
	err = codec.ReadInto(resp, br, string(req.Header.Method()), t.maxBody)
	return br.Buffered() == 0, err
}
