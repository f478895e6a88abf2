package join

import (
	"context"
	"fmt"
	"io"
	"math/rand"
	"net"
	"testing"
	"time"

	"github.com/currantpier/currantpier/feed"
	"github.com/currantpier/currantpier/peers"
	"github.com/currantpier/currantpier/proto"
)

// Guards against the state of another VM that is applied although the response is malformed.
func TestMalformedResponseIsNoState(t *testing.T) {
	state := proto.Message{From: proto.VMInfo{VM: "b"}, Registry: &proto.RegistryDelta{Full: true, Version: 5},
		OperatorChange: &proto.OperatorDelta{Full: true, Version: 4, Rows: []feed.Row{{Key: "config", Version: 4}}}}
	body := string(state.Append(nil))
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	for head, ok := range map[string]bool{
		"HTTP/1.1 200 OK\r\n" + length:                                            true,
		"HTTP/1.1 000 OK\r\n" + length:                                            false,
		"HTTP/1.1 200 OK\r\nA B: c\r\n" + length:                                  false,
		"HTTP/1.1 103 x\r\nA B: c\r\n\r\nHTTP/1.1 200 OK\r\n" + length:            false,
		"HTTP/1.1 200 OK\r\n\n" + length:                                          false,
		"HTTP/1.1 200 OK\r\nTransfer Encoding: chunked\r\n" + length + "A: b\r\n": false,
	} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			_, _ = nc.Read(make([]byte, 4<<10))
			_, _ = io.WriteString(nc, head+"\r\n"+body)
			_ = nc.Close()
		}()
		view := peers.NewView(time.Now(), proto.VMInfo{VM: "a"}, nil, rand.NewSource(1))
		f := &StateFetcher{Peers: peers.NewService(view, nil, nil, time.Now, func(any) {}), Port: ln.Addr().(*net.TCPAddr).Port}
		m, err := f.fetch(context.Background(), newClient(), proto.VMInfo{VM: "b", PeerAddress: ln.Addr().String()}, StatePath)
		if (err == nil) != ok {
			t.Errorf("%q: state %+v, error %v", head, m, err)
		}
		_ = ln.Close()
	}
}
