// Package proving is the wing of what shows that the rest is right: the explorer, random lives, the rules on a record,
// bad days. Nothing but the command line and tests imports it.
//
// It may import every other wing. Packages lives, rules, script and tape are pure.
package proving
