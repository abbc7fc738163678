// Package conventions has tests of rules that hold for the source of the whole workspace.
package conventions
