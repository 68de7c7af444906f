package peer

import (
	"crypto/hmac"
	"crypto/sha256"

	"bramleyfall.example/bramleyfall"
)

const (
	// macSize is the number of bytes of a truncated HMAC-SHA-256.
	macSize = 16
	// sealSize is the number of bytes that a seal adds: key id and MAC.
	sealSize = 1 + macSize
)

// Purpose separates the messages that one key authenticates.
type Purpose string

// The purposes of seals.
const (
	PurposeDatagram Purpose = "Datagram"
	PurposeNotice   Purpose = "Notice"
	PurposeRequest  Purpose = "Request"
	PurposeReply    Purpose = "Reply"
)

// Key is a fleet key with the id that messages name it by.
type Key struct {
	ID     uint8
	Secret []byte
}

// Keys holds the fleet keys that are valid. The first one seals; all of them
// open, so that a key can be replaced while the fleet runs.
type Keys struct {
	keys []Key
}

// NewKeys returns the given keys.
func NewKeys(keys ...Key) *Keys { return &Keys{keys: keys} }

// Seal returns body behind the key id and the MAC.
func (k *Keys) Seal(purpose Purpose, body []byte) []byte {
	key := k.keys[0]
	sealed := make([]byte, 0, sealSize+len(body))
	sealed = append(sealed, key.ID)
	sealed = append(sealed, key.mac(purpose, body)...)
	return append(sealed, body...)
}

// Open returns the body of a sealed message, or an error with the code BadSeal.
func (k *Keys) Open(purpose Purpose, sealed []byte) ([]byte, error) {
	if len(sealed) < sealSize {
		return nil, bramleyfall.Errorf(bramleyfall.BadSeal, "message of %d bytes is shorter than a seal", len(sealed))
	}
	body := sealed[sealSize:]
	for _, key := range k.keys {
		if key.ID == sealed[0] && hmac.Equal(key.mac(purpose, body), sealed[1:sealSize]) {
			return body, nil
		}
	}
	return nil, bramleyfall.Errorf(bramleyfall.BadSeal, "no fleet key with id %d fits the message", sealed[0])
}

func (k Key) mac(purpose Purpose, body []byte) []byte {
	h := hmac.New(sha256.New, k.Secret)
	h.Write([]byte(purpose))
	h.Write([]byte{k.ID})
	h.Write(body)
	return h.Sum(nil)[:macSize]
}
