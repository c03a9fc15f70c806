package peer

// Meter is told of every control message with its encoded size in bytes. Its
// methods are called by several goroutines and must not block.
type Meter interface {
	MessageSent(kind MessageType, size int)
	MessageReceived(kind MessageType, size int)
}

type noMeter struct{}

func (noMeter) MessageSent(MessageType, int)     {}
func (noMeter) MessageReceived(MessageType, int) {}

// SetMeter sets the meter; it is called before the first Call.
func (c *Client) SetMeter(meter Meter) { c.meter = meter }

// SetMeter sets the meter; it is called before the first connection.
func (s *Server) SetMeter(meter Meter) { s.meter = meter }
