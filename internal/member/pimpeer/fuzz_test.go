package pimpeer_test

import (
	"bytes"
	"testing"

	"github.com/pimentoswitch/pimentoswitch/internal/member/pimmessage"
	"github.com/pimentoswitch/pimentoswitch/internal/member/pimpeer"
	"github.com/pimentoswitch/pimentoswitch/internal/state/pimconsensus"
)

// FuzzFrame reads frames of a peer and decodes the messages in them.
func FuzzFrame(f *testing.F) {
	consensus, _ := pimmessage.Encode(pimconsensus.AppendRequest{Term: 3, Entries: []pimconsensus.Entry{{Index: 1, Term: 3}}})
	for _, message := range []pimmessage.PeerMessage{
		pimmessage.Consensus{Group: "jobs", Body: consensus},
		pimmessage.CallRequest{ID: 1, Body: []byte("x")},
		pimmessage.LeaderReply{Leader: "a"},
		pimmessage.Gossip{},
		pimmessage.WorkerCall{Term: 3, ID: 1, Validity: 1, Body: []byte("x")},
		pimmessage.WorkerResult{Term: 3, ID: 1, Domain: "z", Body: []byte("x")},
	} {
		body, _ := pimmessage.Encode(message)
		frame, _ := pimpeer.EncodeFrame(pimpeer.Frame{From: "a", To: "b", Body: body})
		f.Add(frame)
	}
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x00})
	f.Add([]byte{4, 0, 0, 0, 0x81, 0xa1, 'b', 0xc0})
	f.Fuzz(func(_ *testing.T, data []byte) {
		frame, err := pimpeer.ReadFrame(bytes.NewReader(data))
		if err != nil {
			return
		}
		message, err := pimmessage.DecodePeerMessage(frame.Body)
		if err != nil {
			return
		}
		if consensus, ok := message.(pimmessage.Consensus); ok {
			_, _ = pimmessage.DecodeConsensus(consensus.Body)
		}
	})
}
