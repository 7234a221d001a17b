// Serializes claims as JSON rows of the shared table.
#pragma once

#include "request/events.h"

#include <QByteArray>

#include <string>

namespace heathercross::request {

/// A claim row together with the answer body stored in it.
struct StoredClaim {
  ClaimRow Row_;
  /// The answer's body if it is small; a larger one is stored in the object
  /// store under the name Row_.Answer_.
  QByteArray Body_;
};

/// Value of ClaimRow::Answer_ for an answer that is stored in the row itself.
inline constexpr const char *InlineAnswer = "row";

/// Returns the row's key, "claim/TEAM/KEY", with TEAM and KEY percent-encoded.
std::string claimKey(const TeamId &Team, const IdempotencyKey &Key);

/// Serializes a claim to JSON.
std::string serializeClaim(const StoredClaim &Claim);

/// Parses the JSON of a row. Throws FormatError if it is malformed.
StoredClaim parseClaim(const Row &Stored);

} // namespace heathercross::request
