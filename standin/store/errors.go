package store

import (
	"net/http"
	"strconv"

	"eelgrassproxy.example/api/platform"
)

// gRPC status codes that the JSON mapping carries in the property code.
const (
	codeInvalidArgument = 3
	codeNotFound        = 5
	codeOutOfRange      = 11
	codeUnimplemented   = 12
	codeUnavailable     = 14
)

// Messages of etcd for the conditions that this store reports.
const (
	messageTooLarge      = "etcdserver: request is too large"
	messageTooManyOps    = "etcdserver: too many operations in txn request"
	messageDuplicateKey  = "etcdserver: duplicate key given in txn request"
	messageLeaseNotFound = "etcdserver: requested lease not found"
	messageLeaseExists   = "etcdserver: lease already exists"
	messageNoLeader      = "etcdserver: no leader"
	messageCompacted     = "etcdserver: mvcc: required revision has been compacted"
)

func refuse(status, code int, message string) *platform.ErrorStatusCode {
	return &platform.ErrorStatusCode{
		StatusCode: status,
		Response: platform.Status{
			Code:    platform.NewOptInt(code),
			Message: platform.NewOptString(message),
		},
	}
}

func invalid(message string) *platform.ErrorStatusCode {
	return refuse(http.StatusBadRequest, codeInvalidArgument, message)
}

func leaseNotFound() *platform.ErrorStatusCode {
	return refuse(http.StatusNotFound, codeNotFound, messageLeaseNotFound)
}

// parseNumber reads a 64-bit integer in its JSON form, a decimal string. An absent one is 0.
func parseNumber(given platform.OptString) (int64, *platform.ErrorStatusCode) {
	if !given.Set {
		return 0, nil
	}
	n, err := strconv.ParseInt(given.Value, 10, 64)
	if err != nil {
		return 0, invalid("value " + strconv.Quote(given.Value) + " is not a 64-bit integer")
	}
	return n, nil
}

// number is the inverse of parseNumber. Zero is omitted, as in the JSON mapping of protocol buffers.
func number(n int64) platform.OptString {
	if n == 0 {
		return platform.OptString{}
	}
	return platform.NewOptString(strconv.FormatInt(n, 10))
}

func header(revision int64) platform.OptHeader {
	return platform.NewOptHeader(platform.Header{Revision: number(revision)})
}
