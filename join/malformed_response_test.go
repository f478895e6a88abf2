package join

import (
	"context"
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/currantpier/currantpier/feed"
	"github.com/currantpier/currantpier/peers"
	"github.com/currantpier/currantpier/proto"
	"github.com/currantpier/currantpier/stubs"
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
		raw, err := stubs.NewRaw(head + "\r\n" + body)
		if err != nil {
			t.Fatal(err)
		}
		view := peers.NewView(time.Now(), proto.VMInfo{VM: "a"}, nil, rand.NewSource(1))
		f := &StateFetcher{Peers: peers.NewService(view, nil, nil, time.Now, func(any) {}), Port: raw.Port()}
		m, err := f.fetch(context.Background(), newClient(), proto.VMInfo{VM: "b", PeerAddress: raw.Address()}, StatePath)
		if (err == nil) != ok {
			t.Errorf("%q: state %+v, error %v", head, m, err)
		}
		raw.Close()
	}
}
