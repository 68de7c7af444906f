package peer

import (
	"crypto/hmac"
	"crypto/sha256"

	"bramleyfall.example/bramleyfall"
)

const (
	// macSize is the size in bytes of the truncated HMAC-SHA-256.
	macSize = 16
	// sealSize is the size in bytes of a seal: key id and MAC.
	sealSize = 1 + macSize
)

// Purpose is the kind of message that a seal authenticates. A seal for one
// purpose is not valid for another.
type Purpose string

// Purposes of seals.
const (
	PurposeDatagram Purpose = "Datagram"
	PurposeNotice   Purpose = "Notice"
	PurposeRequest  Purpose = "Request"
	PurposeReply    Purpose = "Reply"
)

// Key is a fleet key, the secret that the instances of a deployment share, with
// the id by which messages refer to it.
type Key struct {
	ID     uint8
	Secret []byte
}

// Keys holds the valid fleet keys. The first one seals messages and all of them
// verify seals, so that keys can be rotated in a running deployment.
type Keys struct {
	keys []Key
}

// NewKeys returns a set of fleet keys.
func NewKeys(keys ...Key) *Keys { return &Keys{keys: keys} }

// Seal returns body prefixed with its seal.
func (k *Keys) Seal(purpose Purpose, body []byte) []byte {
	key := k.keys[0]
	sealed := make([]byte, 0, sealSize+len(body))
	sealed = append(sealed, key.ID)
	sealed = append(sealed, key.mac(purpose, body)...)
	return append(sealed, body...)
}

// Open verifies the seal of a message and returns its body. The error has the
// code BadSeal.
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
	return nil, bramleyfall.Errorf(bramleyfall.BadSeal, "no valid fleet key with id %d matches the seal of the message", sealed[0])
}

func (k Key) mac(purpose Purpose, body []byte) []byte {
	h := hmac.New(sha256.New, k.Secret)
	h.Write([]byte(purpose))
	h.Write([]byte{k.ID})
	h.Write(body)
	return h.Sum(nil)[:macSize]
}
