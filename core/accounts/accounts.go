// Package accounts finds the client account that a request's API key belongs to.
package accounts

import (
	"crypto/sha256"
	"fmt"
	"maps"
)

// Quota bounds the online requests of an account over the whole fleet. A Rate of 0 means no limit.
type Quota struct {
	Rate  float64 // requests per second
	Burst float64 // requests
}

// Limited reports whether the quota bounds anything.
func (q Quota) Limited() bool { return q.Rate > 0 }

// Account is a client account. It is immutable.
type Account struct {
	Name     string
	Priority int // rank under shortage; 0 is the highest and goes before the priority of a route
	Quota    Quota
}

// Digest identifies an API key without revealing it. Keys are compared by their digests, so that the time of a lookup does not depend on how much of
// a key was guessed.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest { return sha256.Sum256([]byte(key)) }

// Key is a key of an Entry.
type Key struct {
	Digest   Digest
	Unusable string // why the key cannot be used; empty for a usable key
}

// Entry is an account of a configuration with its keys, in the order of the configuration.
type Entry struct {
	Account  *Account
	Keys     []Key
	Unusable string // why the account cannot be used; empty for a usable account
}

// Problem is an account or a key that a Directory leaves out. It reveals no key.
type Problem struct {
	Entry   int    // position of the account in the configuration, from 0
	Account string // name of the account; may be empty
	Key     int    // position of the key in the account, from 0, or -1 if the problem is the account
	Reason  string
}

// Error implements error.
func (p Problem) Error() string {
	if p.Key < 0 {
		return fmt.Sprintf("account %d %q skipped: %s", p.Entry, p.Account, p.Reason)
	}
	return fmt.Sprintf("key %d of account %d %q skipped: %s", p.Key, p.Entry, p.Account, p.Reason)
}

// Directory is the set of accounts of one configuration. It is immutable and safe for concurrent use. The zero value and nil have no accounts.
type Directory struct {
	byKey  map[Digest]*Account
	byName map[string]*Account
	// meanRate is the mean rate of the accounts with a limited quota, or 1 without any.
	meanRate float64
	// Required means that requests need a key, also if no account could be used.
	Required bool
	// Incomplete means that an account or a key was left out, so that an unknown key may be valid.
	Incomplete bool
}

// NewDirectory returns a directory of the entries of a configuration that has accounts, and what it leaves out: unusable accounts and keys, accounts
// without a name, accounts with the name of an earlier one, and keys that several accounts hold. The keys of accounts that are left out count as
// held, since it is not known whose they are.
func NewDirectory(entries []Entry) (*Directory, []Problem) {
	d := &Directory{byName: make(map[string]*Account, len(entries)), Required: true}
	var problems []Problem
	for i, e := range entries {
		reason := e.Unusable
		if reason == "" && e.Account.Name == "" {
			reason = "it has no name"
		}
		if _, used := d.byName[e.Account.Name]; reason == "" && used {
			reason = "an earlier account has its name"
		}
		if reason != "" {
			problems = append(problems, Problem{Entry: i, Account: e.Account.Name, Key: -1, Reason: reason})
			continue
		}
		d.byName[e.Account.Name] = e.Account
	}
	holders, contested := holdersOf(entries)
	for i, e := range entries {
		if d.byName[e.Account.Name] != e.Account {
			continue
		}
		for k, key := range e.Keys {
			reason := key.Unusable
			if contested[key.Digest] && reason == "" {
				reason = "several accounts hold it"
			}
			if reason != "" {
				problems = append(problems, Problem{Entry: i, Account: e.Account.Name, Key: k, Reason: reason})
				continue
			}
			holders[key.Digest] = e.Account
		}
	}
	maps.DeleteFunc(holders, func(key Digest, a *Account) bool { return contested[key] || d.byName[a.Name] != a })
	d.byKey = holders
	d.Incomplete = len(problems) > 0
	d.meanRate = meanRate(d.byName)
	return d, problems
}

// holdersOf returns the first account that holds each usable key, and the keys that accounts of different names, or without a name, hold.
func holdersOf(entries []Entry) (holders map[Digest]*Account, contested map[Digest]bool) {
	size := 0
	for _, e := range entries {
		size += len(e.Keys)
	}
	holders, contested = make(map[Digest]*Account, size), make(map[Digest]bool)
	for _, e := range entries {
		for _, key := range e.Keys {
			if key.Unusable != "" {
				continue
			}
			first, held := holders[key.Digest]
			switch name := e.Account.Name; {
			case !held:
				holders[key.Digest] = e.Account
			case first != e.Account && (name == "" || name != first.Name):
				contested[key.Digest] = true
			}
		}
	}
	return holders, contested
}

func meanRate(accounts map[string]*Account) float64 {
	sum, limited := 0.0, 0
	for _, a := range accounts {
		if a.Quota.Limited() {
			sum += a.Quota.Rate
			limited++
		}
	}
	if limited == 0 {
		return 1
	}
	return sum / float64(limited)
}

// Weight returns the share of an account under shortage, relative to those of the others: its rate, or the mean rate if its quota is not limited.
func (d *Directory) Weight(a *Account) float64 {
	switch {
	case a.Quota.Limited():
		return a.Quota.Rate
	case d == nil:
		return 1
	}
	return d.meanRate
}

// Lookup returns the account that holds a key.
func (d *Directory) Lookup(key string) (*Account, bool) {
	if d == nil || key == "" {
		return nil, false
	}
	account, ok := d.byKey[DigestOf(key)]
	return account, ok
}

// ByName returns the account with a name.
func (d *Directory) ByName(name string) (*Account, bool) {
	if d == nil {
		return nil, false
	}
	account, ok := d.byName[name]
	return account, ok
}

// NeedsKey reports whether requests must bring the key of an account.
func (d *Directory) NeedsKey() bool { return d != nil && d.Required }
