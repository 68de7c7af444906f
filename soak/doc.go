// Package soak is a randomized fault-injection test of the direct mode. It runs
// balancers and agents as processes and injects faults by signals, by a faulty
// store and by proxies in front of it, while callers place orders. It checks
// while the faults are active that no order runs twice, that flows of undisturbed
// servers survive and that configurations take effect in time.
package soak
