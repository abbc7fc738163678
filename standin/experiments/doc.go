// Package experiments measures the policy of the instances: an open-loop load of callers before a whole fleet on virtual time, the
// results and their comparison. The experiments themselves are tests that run with the flag -experiments only.
package experiments
