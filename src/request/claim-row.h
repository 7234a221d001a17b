// The text of a claim's row in the table.
#pragma once

#include "request/events.h"

#include <QByteArray>

#include <string>

namespace heathercross::request {

/// A claim's row with the answer that is kept in it.
struct StoredClaim {
  ClaimRow Row_;
  /// The answer's body when it is small; a larger one is in the object store
  /// under the name Row_.Answer_.
  QByteArray Body_;
};

/// The name in ClaimRow::Answer_ of an answer that is kept in the row itself.
inline constexpr const char *InlineAnswer = "row";

/// The key of the row: "claim/TEAM/KEY", each part percent-encoded.
std::string claimKey(const TeamId &Team, const IdempotencyKey &Key);

/// The JSON text of the row.
std::string claimText(const StoredClaim &Claim);

/// Reads the JSON text of a row. Throws FormatError.
StoredClaim parseClaim(const Row &Stored);

} // namespace heathercross::request
