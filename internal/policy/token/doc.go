// Package token enforces fleet-wide limits on the rate of organisations' calls with tokens:
// each call takes one before it is sent.
//
// In each failure domain one node, the issuer, holds the token bucket of an organisation,
// filled at an equal part of the limit. Nodes take tokens from the issuer of their own
// domain when calls need them, and a busy node takes those of the next moments at once. An
// issuer whose bucket is empty takes spare ones from the issuers of other domains, so that
// tokens follow demand within one exchange. A limit too small to be split is issued in
// fewer domains. A new issuer has no tokens for a moment, in which nodes may still use its
// predecessor.
//
// Issuers also tell which part of its limit an organisation uses, as a level by which
// targets order calls: see HighestLevel.
//
// This answers a load of many organisations whose calls come at few nodes each, and of
// single organisations far beyond their limit. No token is issued twice, so the sum of all
// calls has a bound that does not depend on messages: see Plan.
package token
