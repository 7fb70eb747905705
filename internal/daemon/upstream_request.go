package daemon

import (
	"time"

	"landingpaddle/internal/proto"
)

// upstreamRequest is an operation as sent to its node.
type upstreamRequest struct {
	header  proto.Request
	payload []byte // of a write
	copied  int    // bytes of the payload that were copied to merge writes
}

// encode builds the request of an operation. Its time-out is the time left until the earliest deadline of its
// members; the loop ends each member at its own deadline.
func (o *Operation) encode(now time.Duration) upstreamRequest {
	leader := o.members[0]
	header := clientRequestOf(leader).header
	header.Attempt, header.Timeout = uint16(leader.number), leader.deadline-now
	header.Members, header.Piece = nil, 0
	if !o.isRanged() {
		return upstreamRequest{header: header, payload: clientRequestOf(leader).payload}
	}
	header.Cell = int32(leader.request.piece.Cell)
	header.Offset, header.Length = o.extent.Range.Offset, uint32(o.extent.Range.Length)
	header.Units = uint32(o.extent.Units)
	header.DataVolumeID, header.Write = o.extent.DataVolume, o.extent.Write
	header.Piece = uint16(leader.request.piece.Index)
	if len(o.members) == 1 {
		return upstreamRequest{header: header, payload: leader.pieceData()}
	}
	return o.encodeMembers(header, now)
}

// encodeMembers adds the members of a merged operation to its request, and the payload of a write.
func (o *Operation) encodeMembers(header proto.Request, now time.Duration) upstreamRequest {
	request := upstreamRequest{header: header}
	if header.Write {
		request.payload = make([]byte, o.extent.Range.Length)
	}
	for i, member := range o.members {
		clientHeader, slice := &clientRequestOf(member).header, o.extent.Slice(o.extent.Members[i])
		request.header.Timeout = min(request.header.Timeout, member.deadline-now)
		request.header.Members = append(request.header.Members, proto.Member{
			Token:     clientHeader.Token,
			Volume:    clientHeader.Volume,
			Key:       clientHeader.Key,
			Plan:      clientHeader.Plan,
			Units:     uint32(max(1, member.request.piece.Units)), // a short piece may have 0
			Offset:    uint32(slice.Offset),
			Length:    uint32(slice.Length),
			Piece:     uint16(member.request.piece.Index),
			ClientTry: clientHeader.ClientTry,
			Client:    clientHeader.Client,
		})
		if header.Write {
			request.copied += copy(request.payload[slice.Offset:slice.End()], member.pieceData())
		}
	}
	return request
}

// pieceData returns the part of a write's payload that an attempt's piece covers; nil for a read.
func (a *attempt) pieceData() []byte {
	request, piece := clientRequestOf(a), a.request.piece.Range
	if request.payload == nil {
		return nil
	}
	from := piece.Offset - request.header.Offset
	return request.payload[from : from+piece.Length]
}
