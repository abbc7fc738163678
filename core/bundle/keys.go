package bundle

import (
	"crypto/ed25519"
	"crypto/x509"
	"encoding/pem"

	"github.com/rotisserie/eris"
)

// PEM block types of key files.
const (
	pemPrivateKey = "PRIVATE KEY" // PKCS #8
	pemPublicKey  = "PUBLIC KEY"  // PKIX
)

// EncodePrivateKey returns the key in PEM form (PKCS #8).
func EncodePrivateKey(key ed25519.PrivateKey) ([]byte, error) {
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return nil, eris.Wrapf(ErrBadKey, "encode private key: %v", err)
	}
	return pem.EncodeToMemory(&pem.Block{Type: pemPrivateKey, Bytes: der}), nil
}

// EncodePublicKey returns the key in PEM form (PKIX).
func EncodePublicKey(key ed25519.PublicKey) ([]byte, error) {
	der, err := x509.MarshalPKIXPublicKey(key)
	if err != nil {
		return nil, eris.Wrapf(ErrBadKey, "encode public key: %v", err)
	}
	return pem.EncodeToMemory(&pem.Block{Type: pemPublicKey, Bytes: der}), nil
}

// DecodePrivateKey is the inverse of EncodePrivateKey. Errors wrap ErrBadKey and never contain key material.
func DecodePrivateKey(data []byte) (ed25519.PrivateKey, error) {
	block, _ := pem.Decode(data)
	if block == nil || block.Type != pemPrivateKey {
		return nil, eris.Wrapf(ErrBadKey, "no %s block", pemPrivateKey)
	}
	parsed, err := x509.ParsePKCS8PrivateKey(block.Bytes)
	if err != nil {
		return nil, eris.Wrap(ErrBadKey, "decode private key")
	}
	key, ok := parsed.(ed25519.PrivateKey)
	if !ok {
		return nil, eris.Wrapf(ErrBadKey, "private key has type %T", parsed)
	}
	return key, nil
}

// DecodePublicKey is the inverse of EncodePublicKey. Errors wrap ErrBadKey.
func DecodePublicKey(data []byte) (ed25519.PublicKey, error) {
	block, _ := pem.Decode(data)
	if block == nil || block.Type != pemPublicKey {
		return nil, eris.Wrapf(ErrBadKey, "no %s block", pemPublicKey)
	}
	parsed, err := x509.ParsePKIXPublicKey(block.Bytes)
	if err != nil {
		return nil, eris.Wrapf(ErrBadKey, "decode public key: %v", err)
	}
	key, ok := parsed.(ed25519.PublicKey)
	if !ok {
		return nil, eris.Wrapf(ErrBadKey, "public key has type %T", parsed)
	}
	return key, nil
}
